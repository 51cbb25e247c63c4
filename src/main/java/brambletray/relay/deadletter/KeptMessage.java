package brambletray.relay.deadletter;

import java.util.List;

/**
 * A message as it is kept.
 *
 * @param number its own, in the order in which messages were kept
 * @param key idempotency key, null for none
 * @param ended Unix time of its last end, ms
 * @param reason for that end, in words
 * @param epoch of the wall clock in which it ended: times of another epoch can't be compared
 * @param sends all that may have run, and those of its last life that did not; the eldest first
 * @param redrives how often it was sent again
 * @param doubtful records of it may be missing: it may have run at any time
 */
public record KeptMessage(
        long number,
        String id,
        String messageClass,
        ClassRules rules,
        int tenant,
        String routeKey,
        String key,
        long destination,
        long deadline,
        long ended,
        String reason,
        int epoch,
        List<Send> sends,
        int redrives,
        int bodyBytes,
        boolean doubtful) {
    /** Sends of which it is not known that they never ran. */
    public List<Send> perhapsRun() {
        return sends.stream().filter(Send::mayHaveRun).toList();
    }

    /** The same after one more life of it has ended. */
    public KeptMessage again(List<Send> all, long now, String why, int inEpoch) {
        return new KeptMessage(
                number,
                id,
                messageClass,
                rules,
                tenant,
                routeKey,
                key,
                destination,
                deadline,
                now,
                why,
                inEpoch,
                List.copyOf(all),
                redrives + 1,
                bodyBytes,
                doubtful);
    }
}
