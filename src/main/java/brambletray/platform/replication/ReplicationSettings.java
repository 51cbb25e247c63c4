package brambletray.platform.replication;

/**
 * Timeouts in milliseconds. A machine counts as lost until sync-s after its return, so its way back into the view has
 * to be shorter than that.
 *
 * @param tolerance what may be lost at once: an entry is committed once it is on disks that survive this
 * @param heartbeatIntervalMs between heartbeats of the leader
 * @param electionTimeoutMs silence after which a member is suspected
 * @param ackTimeoutMs missing acknowledgement after which a member is suspected
 * @param syncTimeoutMs age of the oldest write that is not synced after which a member calls its disk unhealthy
 * @param maxTickDelayMs lateness of its own tick after which a member resets its timers
 * @param rankDelayMs between the election time-outs of members of neighbouring rank
 * @param prepareGraceMs wait for further responses once a quorum has answered
 * @param foundingGraceMs the same, at the founding
 * @param installTimeoutMs wait for all members of a proposed view to have it on disk
 * @param proposalTimeoutMs how long a proposal is pending before its outcome is called unknown
 * @param leaveTimeoutMs how long a member that is about to end stays at most, so that others go on without it:
 *     grace-s less a margin
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

    /** The defaults, with the shortest grace-s of all deployments, 6 s, less a margin. */
    public static ReplicationSettings defaults(int losses) {
        return defaults(FaultTolerance.ofMachines(losses), 5000);
    }

    /**
     * The defaults for this tolerance; {@code leaveTimeoutMs}: how long a member that is about to end stays at most.
     */
    public static ReplicationSettings defaults(FaultTolerance tolerance, int leaveMs) {
        return new ReplicationSettings(tolerance, 100, 700, 1000, 700, 400, 200, 150, 1500, 700, 3000, leaveMs);
    }
}
