package brambletray.platform.replication;

/**
 * Spans in milliseconds and bounds. A machine counts as lost until sync-s after its return, so its way back in has to
 * be shorter than that.
 *
 * @param tolerance  what may be lost at once: a change is kept once it is on disks that outlast this
 * @param heartbeatIntervalMs     between beats of the leader
 * @param electionTimeoutMs   silence after which a member is suspected
 * @param ackTimeoutMs      missing acknowledgement after which a member is suspected
 * @param syncTimeoutMs      age of the oldest write not yet synced after which a member calls itself ill
 * @param maxTickDelayMs    lateness of its own tick after which a member doubts itself
 * @param rankDelayMs  between the attempts of members of neighbouring rank
 * @param prepareGraceMs   wait for further answers once enough have answered
 * @param foundingGraceMs    the same, at the founding
 * @param installTimeoutMs  wait for all members of a proposed view to keep it
 * @param proposalTimeoutMs  how long a proposal is held before its outcome is called unclear
 * @param leaveTimeoutMs    how long a member that is told to end stays at most, so that others go on without it: grace-s less
 * a margin
 */
public record ReplicationSettings(
        FaultTolerance tolerance,
        int heartbeatIntervalMs,
        int electionTimeoutMs,
        int ackTimeoutMs,
        int syncTimeoutMs,
        int maxTickDelayMs,
        int rankDelayMs,
        int prepareGraceMs,
        int foundingGraceMs,
        int installTimeoutMs,
        int proposalTimeoutMs,
        int leaveTimeoutMs) {
    /** Most members of a view. */
    static final int MAX_MEMBERS = 9;

    /** The usual spans, with the shortest grace-s of all deployments, 6 s, less a margin. */
    public static ReplicationSettings defaults(int losses) {
        return defaults(FaultTolerance.ofMachines(losses), 5000);
    }

    /** The usual spans, and how long a member that is told to end stays at most. */
    public static ReplicationSettings defaults(FaultTolerance tolerance, int leaveMs) {
        return new ReplicationSettings(tolerance, 100, 700, 1000, 700, 400, 200, 150, 1500, 700, 3000, leaveMs);
    }
}
