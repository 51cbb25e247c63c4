package brambletray.platform.replication;

/**
 * Fault tolerance and timeouts in milliseconds. A machine counts as lost until sync-s after its return, so rejoining
 * the view has to take less than that.
 *
 * @param tolerance simultaneous losses to survive: an entry is committed once it is on disks that survive them
 * @param heartbeatIntervalMs interval between heartbeats of the leader
 * @param electionTimeoutMs time without a message after which a member is suspected
 * @param ackTimeoutMs time without an expected acknowledgement after which a member is suspected
 * @param syncTimeoutMs age of the oldest unsynced write above which a member reports its disk as unhealthy
 * @param maxTickDelayMs delay of its own tick above which a member resets its timers
 * @param rankDelayMs difference between the election timeouts of members of adjacent rank
 * @param prepareGraceMs time to wait for further responses once a quorum has responded
 * @param foundingGraceMs the same, for the founding view
 * @param installTimeoutMs time to wait for all members of a proposed view to have it on disk
 * @param proposalTimeoutMs time after which the outcome of a pending proposal is reported as unknown
 * @param leaveTimeoutMs longest time that a leaving member waits for a view without it: grace-s less a margin
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
    static final int MAX_MEMBERS = 9;

    /** The defaults, with a leave timeout based on the shortest grace-s of all deployments, 6 s, less a margin. */
    public static ReplicationSettings defaults(int tolerableLosses) {
        return defaults(FaultTolerance.ofMachines(tolerableLosses), 5000);
    }

    /**
     * The defaults for this tolerance and leave timeout.
     */
    public static ReplicationSettings defaults(FaultTolerance tolerance, int leaveTimeoutMs) {
        return new ReplicationSettings(tolerance, 100, 700, 1000, 700, 400, 200, 150, 1500, 700, 3000, leaveTimeoutMs);
    }
}
