package brambletray.relay.deadletter;

import java.util.Set;

/**
 * What is to be done with kept messages that match; the first rule of a book that matches counts.
 *
 * @param classes names, empty for all
 * @param destinations numbers, empty for all
 * @param reasons parts of which one must stand in the reason, empty for all
 * @param olderThan ms since its end
 * @param redrives at most so many times before this one
 */
public record Rule(
        String name,
        Set<String> classes,
        Set<Long> destinations,
        Set<String> reasons,
        long olderThan,
        int redrives,
        Action action) {
    /** What a rule does. */
    public sealed interface Action {}

    /**
     * Sends it again.
     *
     * @param limit ms that it then has
     * @param perSecond at most, over all messages of this rule
     * @param from hour of the day (UTC) from which on
     * @param until hour before which; the same as {@code from} for always
     * @param destination another one, 0 for its own
     */
    public record SendAgain(long limit, double perSecond, int from, int until, long destination) implements Action {
        /** True at this Unix time, ms. */
        boolean open(long now) {
            int hour = (int) Math.floorMod(now / 3_600_000, 24L);
            boolean after = hour >= from;
            boolean before = hour < until;
            return from == until || (from < until ? after && before : after || before);
        }
    }

    /** Nobody will send it again. */
    public record GiveUp() implements Action {}

    /** It waits for a person. */
    public record Hold() implements Action {}

    /** True for messages that it is about, whether it is time for them or not. */
    public boolean matches(KeptMessage keptMessage) {
        return (classes.isEmpty() || classes.contains(keptMessage.messageClass()))
                && (destinations.isEmpty() || destinations.contains(keptMessage.destination()))
                && (reasons.isEmpty() || reasons.stream().anyMatch(keptMessage.reason()::contains));
    }
}
