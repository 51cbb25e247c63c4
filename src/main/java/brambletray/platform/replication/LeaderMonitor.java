package brambletray.platform.replication;

/**
 * Whether the leader of the view is alive, and when this member should take over. Members wait in the order of their
 * rank (the leader first, then as listed in the view), each a bit longer than the one before it, which keeps two from
 * starting a view change at the same time.
 */
final class LeaderMonitor {
    /** Wait of a member that has not heard any leader since its start. */
    private static final int INITIAL_TIMEOUT_MS = 100;
    /** Wait after the connection to the leader was reset. */
    private static final int DISCONNECT_TIMEOUT_MS = 250;
    /** How long a reset of the connection counts. */
    private static final int DISCONNECT_MEMORY_MS = 2_000;
    /** Silence up to which the leader counts as healthy. */
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

    /** Whether the leader was heard lately and is not about to end. */
    boolean leaderIsHealthy() {
        return leaderSeen && leavingSinceMs == NOT_LEAVING && state.nowMs() - heardAtMs <= LEADER_HEALTHY_MS;
    }

    /** Whether no leader has been heard since the start of the process. */
    boolean noLeaderSeenYet() {
        return !leaderSeen;
    }

    /** Whether the leader is about to end. */
    boolean leaderIsLeaving() {
        return leavingSinceMs != NOT_LEAVING;
    }

    /** The leader has been heard. */
    void onLeaderHeard() {
        heardAtMs = state.nowMs();
        leaderSeen = true;
    }

    /** The leader has been heard, but its disk is in trouble: the time-out runs on. */
    void onUnhealthyLeaderHeard() {
        leaderSeen = true;
    }

    /** The leader is about to end: the next in rank takes over at once. */
    void onLeaderLeaving() {
        if (leavingSinceMs == NOT_LEAVING) {
            leavingSinceMs = state.nowMs();
        }
    }

    /** A new view is installed here. */
    void onViewInstalled() {
        leavingSinceMs = NOT_LEAVING;
        noElectionBeforeMs = LONG_AGO_MS;
        onLeaderHeard();
    }

    /** The connection to this address was refused or reset. */
    void onDisconnected(String address) {
        Member leader = state.view() == null ? null : state.view().leader();
        if (leader != null && leader.address().equals(address)) {
            disconnectedAtMs = state.nowMs();
        }
    }

    /** This process was paused: the leader is not suspected before the time-out has run anew. */
    void resetTimers() {
        heardAtMs = state.nowMs();
        disconnectedAtMs = LONG_AGO_MS;
    }

    /** No view change of this member's own before so many ms are over. */
    void postponeElection(long ms) {
        noElectionBeforeMs = Math.max(noElectionBeforeMs, state.nowMs() + ms);
    }

    /** Place of this member in the view, the leader's being 0. */
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

    /** ms by which this member waits longer than the leader would. */
    long rankDelayMs() {
        return state.view() == null ? 0 : (long) rank() * state.settings().rankDelayMs();
    }

    /** Whether the leader has been silent, or leaving, for so long that this member should take over. */
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
