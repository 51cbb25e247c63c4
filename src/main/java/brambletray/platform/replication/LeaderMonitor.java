package brambletray.platform.replication;

/**
 * Detects failures of the leader, and decides when this member should take over. The time-out grows with the rank of
 * the member (the leader first, then the order of the view), so that two members rarely start a view change at the same
 * time.
 */
final class LeaderMonitor {
    /** Time-out of a member that has not heard from any leader since it started. */
    private static final int INITIAL_TIMEOUT_MS = 100;
    /** Time-out after the connection to the leader was reset. */
    private static final int DISCONNECT_TIMEOUT_MS = 250;
    /** How long after a connection reset the shorter time-out applies. */
    private static final int DISCONNECT_MEMORY_MS = 2_000;
    /** Time since its last message within which the leader counts as healthy. */
    private static final int LEADER_HEALTHY_MS = 350;

    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;
    private static final long NOT_LEAVING = -1;

    private final ReplicaState state;
    private long heardAtMs;
    private boolean leaderSeen;
    private long disconnectedAtMs = LONG_AGO_MS;
    private long leavingSinceMs = NOT_LEAVING;
    private long noElectionBeforeMs = LONG_AGO_MS;

    LeaderMonitor(ReplicaState state) {
        this.state = state;
        this.heardAtMs = state.nowMs();
    }

    /** Whether the leader was heard from recently and is not leaving. */
    boolean leaderIsHealthy() {
        return leaderSeen && leavingSinceMs == NOT_LEAVING && state.nowMs() - heardAtMs <= LEADER_HEALTHY_MS;
    }

    /** Whether no leader has been heard from since the process started. */
    boolean noLeaderSeenYet() {
        return !leaderSeen;
    }

    boolean leaderIsLeaving() {
        return leavingSinceMs != NOT_LEAVING;
    }

    void onLeaderHeard() {
        heardAtMs = state.nowMs();
        leaderSeen = true;
    }

    /** Called for a heartbeat from a leader whose disk is unhealthy: the time-out is not restarted. */
    void onUnhealthyLeaderHeard() {
        leaderSeen = true;
    }

    /** Called when the leader announces that it is leaving: the next in rank takes over at once. */
    void onLeaderLeaving() {
        if (leavingSinceMs == NOT_LEAVING) {
            leavingSinceMs = state.nowMs();
        }
    }

    /** Called when this member has installed a new view. */
    void onViewInstalled() {
        leavingSinceMs = NOT_LEAVING;
        noElectionBeforeMs = LONG_AGO_MS;
        onLeaderHeard();
    }

    /** Called when the connection to this address was refused or reset. */
    void onDisconnected(String address) {
        Member leader = state.view() == null ? null : state.view().leader();
        if (leader != null && leader.address().equals(address)) {
            disconnectedAtMs = state.nowMs();
        }
    }

    /** Restarts the time-out after this process was paused, so that the leader is not suspected because of it. */
    void resetTimers() {
        heardAtMs = state.nowMs();
        disconnectedAtMs = LONG_AGO_MS;
    }

    /** Keeps this member from starting a view change for the next {@code ms}. */
    void postponeElection(long ms) {
        noElectionBeforeMs = Math.max(noElectionBeforeMs, state.nowMs() + ms);
    }

    /** Position of this member in the view; the leader is 0. */
    int rank() {
        int rank = 0;
        for (Member member : state.view().members()) {
            if (member.address().equals(state.self().address())) {
                return rank;
            }
            rank++;
        }
        return rank;
    }

    /** Delay in ms that the rank of this member adds to its time-out. */
    long rankDelayMs() {
        return state.view() == null ? 0 : (long) rank() * state.settings().rankDelayMs();
    }

    /** Whether the leader has been silent or leaving for long enough that this member should take over. */
    boolean electionTimeoutExpired() {
        if (state.view() == null || state.nowMs() < noElectionBeforeMs) {
            return false;
        }
        if (leaderIsLeaving()) {
            long successorDelayMs = (long) (rank() - 1) * state.settings().rankDelayMs();
            return state.nowMs() - leavingSinceMs >= successorDelayMs;
        }
        return state.nowMs() - heardAtMs > timeoutMs() + rankDelayMs();
    }

    private int timeoutMs() {
        if (!leaderSeen) {
            return INITIAL_TIMEOUT_MS;
        }
        boolean disconnected = disconnectedAtMs >= heardAtMs && state.nowMs() - disconnectedAtMs < DISCONNECT_MEMORY_MS;
        return disconnected ? DISCONNECT_TIMEOUT_MS : state.settings().electionTimeoutMs();
    }
}
