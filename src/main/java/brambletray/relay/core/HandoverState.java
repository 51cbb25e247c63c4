package brambletray.relay.core;

import brambletray.relay.control.Memory;
import brambletray.relay.journal.Journal;
import java.util.List;
import java.util.Map;

/**
 * State that one process passes to another that continues in its place. The journal is not part of it: the new process
 * opens the journal's folder.
 *
 * @param memory the control module's memory
 * @param controlTimeUs the control module's time at the handover, us
 * @param unixMs the same instant as Unix time, ms
 * @param hostNumbers by host name, the number that identifies the host in the control module
 * @param callsInFlight calls in flight, which stay with the process that made them
 */
public record HandoverState(
        Memory memory,
        long controlTimeUs,
        long unixMs,
        Map<String, Long> hostNumbers,
        List<CallInFlight> callsInFlight) {
    /** us; limit on how far a step of the wall clock during a handover can advance the control module's clock. */
    private static final long MAX_CLOCK_ADVANCE_US = 10_000_000;

    /** A call in flight; {@code isCompleted}: its message has ended and only the slot is still in use. */
    public record CallInFlight(String id, int attempt, String host, boolean isCompleted) {}

    /** Converts a Unix time (ms) after the handover to the control module's time (us), which never goes back. */
    long controlTimeAt(long unixMsNow) {
        return controlTimeUs + Math.max(0, Math.min(MAX_CLOCK_ADVANCE_US, (unixMsNow - unixMs) * 1_000));
    }

    /**
     * Checks this state against the journal and against this process's host numbers. If it does not match, the process
     * has to {@link EventDispatcher#start} from the journal alone.
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
