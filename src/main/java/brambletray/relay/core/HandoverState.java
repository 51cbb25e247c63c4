package brambletray.relay.core;

import brambletray.relay.control.Memory;
import brambletray.relay.journal.Journal;
import java.util.List;
import java.util.Map;

/**
 * What one process hands on so that another goes on in its place; the journal goes beside it, by the folder.
 *
 * @param memory the module's
 * @param controlTimeUs us of the module's clock when it ended
 * @param unixMs the same instant, Unix time, ms
 * @param hostNumbers by which the module knows hosts, by their names
 * @param callsInFlight calls that are out and stay with the process that made them
 */
public record HandoverState(
        Memory memory,
        long controlTimeUs,
        long unixMs,
        Map<String, Long> hostNumbers,
        List<CallInFlight> callsInFlight) {
    /** us; a step of the wall clock between two processes moves the module's clock by no more than this. */
    private static final long MAX_CLOCK_ADVANCE_US = 10_000_000;

    /** A call that is out to a host; {@code isFinal}: its message has had its end, the slot is waited for. */
    public record CallInFlight(String id, int attempt, String host, boolean isCompleted) {}

    /** us of the module's clock at a Unix time in ms; it never goes back. */
    long controlTimeAt(long unixNow) {
        return controlTimeUs + Math.max(0, Math.min(MAX_CLOCK_ADVANCE_US, (unixNow - unixMs) * 1_000));
    }

    /**
     * Whether this fits what the journal holds and the numbers that hosts have here. Where it does not, the
     * module has to {@link EventDispatcher#start} with what the journal tells.
     */
    public boolean isConsistentWith(Journal journal, HostDirectory hosts) {
        Map<String, Integer> open = memory.openMessageAttemptCounts();
        for (Journal.Entry entry : journal.owed()) {
            if (entry.end == null && !Integer.valueOf(entry.attempts.size()).equals(open.remove(entry.message.id()))) {
                return false;
            }
        }
        return open.isEmpty()
                && hostNumbers.entrySet().stream().allMatch(e -> hosts.hostNamed(e.getKey()).number == e.getValue())
                && hostNumbers.values().containsAll(memory.listedEndpointIds());
    }
}
