package brambletray.platform.replication;

/**
 * Spans in milliseconds and bounds. A machine counts as lost until sync-s after its return, so its way back in has to
 * be shorter than that.
 *
 * @param tolerance  what may be lost at once: a change is kept once it is on disks that outlast this
 * @param beatMs     between beats of the leader
 * @param silentMs   silence after which a member is suspected
 * @param ackMs      missing acknowledgement after which a member is suspected
 * @param illMs      age of the oldest write not yet synced after which a member calls itself ill
 * @param sleepMs    lateness of its own tick after which a member doubts itself
 * @param staggerMs  between the attempts of members of neighbouring rank
 * @param gatherMs   wait for further answers once enough have answered
 * @param foundMs    the same, at the founding
 * @param installMs  wait for all members of a proposed view to keep it
 * @param proposeMs  how long a proposal is held before its outcome is called unclear
 * @param leaveMs    how long a member that is told to end stays at most, so that others go on without it: grace-s less
 * a margin
 */
public record ReplicationSettings(
        FaultTolerance tolerance,
        int beatMs,
        int silentMs,
        int ackMs,
        int illMs,
        int sleepMs,
        int staggerMs,
        int gatherMs,
        int foundMs,
        int installMs,
        int proposeMs,
        int leaveMs) {
    /** Most members of a view. */
    static final int MOST = 9;

    /** The usual spans, with the shortest grace-s of all deployments, 6 s, less a margin. */
    public static ReplicationSettings usual(int losses) {
        return usual(FaultTolerance.ofMachines(losses), 5000);
    }

    /** The usual spans, and how long a member that is told to end stays at most. */
    public static ReplicationSettings usual(FaultTolerance tolerance, int leaveMs) {
        return new ReplicationSettings(tolerance, 100, 700, 1000, 700, 400, 200, 150, 1500, 700, 3000, leaveMs);
    }
}
