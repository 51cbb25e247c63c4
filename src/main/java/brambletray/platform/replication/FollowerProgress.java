package brambletray.platform.replication;

/**
 * The progress of one follower as seen by the leader: how far its log is durable, which entries were sent to it, and
 * when it last answered. Times are in ms of the monotonic clock.
 */
final class FollowerProgress {
    private static final long LONG_AGO_MS = Long.MIN_VALUE / 2;
    private static final long NEVER = -1;

    private final Member member;
    private long durableIndex;
    private long nextIndex;
    private long lastHeardAtMs;
    private long waitingSinceMs = NEVER;
    private long disconnectedAtMs = LONG_AGO_MS;
    private long supersededSinceMs = NEVER;
    private long resentAtMs = NEVER;
    private boolean diskUnhealthy;

    /** @param lastIndex last index of the log that the view starts with, which the follower has on disk */
    FollowerProgress(Member member, long lastIndex, long nowMs) {
        this.member = member;
        durableIndex = lastIndex;
        nextIndex = lastIndex + 1;
        lastHeardAtMs = nowMs;
    }

    Member member() {
        return member;
    }

    /** Last index that the follower has on disk. */
    long durableIndex() {
        return durableIndex;
    }

    /** First index that has not been sent to the follower yet. */
    long nextIndex() {
        return nextIndex;
    }

    /** Whether the follower answered within the last {@code withinMs} and has not promised a higher ballot. */
    boolean isResponsive(long nowMs, int withinMs) {
        return supersededSinceMs == NEVER && wasHeardWithin(nowMs, withinMs);
    }

    boolean wasHeardWithin(long nowMs, int withinMs) {
        return nowMs - lastHeardAtMs <= withinMs;
    }

    /** Whether it has not answered within the time-out, or within the one that applies after a connection reset. */
    boolean isSilent(long nowMs, int timeoutMs, int disconnectedTimeoutMs) {
        boolean disconnected = disconnectedAtMs >= lastHeardAtMs && !wasHeardWithin(nowMs, disconnectedTimeoutMs);
        return disconnected || !wasHeardWithin(nowMs, timeoutMs);
    }

    /** Whether its disk is unhealthy, or entries have been unacknowledged for longer than the time-out. */
    boolean isSlow(long nowMs, int ackTimeoutMs) {
        return diskUnhealthy || waitingSinceMs != NEVER && nowMs - waitingSinceMs > ackTimeoutMs;
    }

    /** Whether it has been stopped by another member's view change for longer than the time-out. */
    boolean isSupersededFor(long nowMs, int timeoutMs) {
        return supersededSinceMs != NEVER && nowMs - supersededSinceMs > timeoutMs;
    }

    /** Records that this many entries, from {@link #nextIndex} on, have been sent. */
    void onSent(int entries, long nowMs) {
        if (waitingSinceMs == NEVER) {
            waitingSinceMs = nowMs;
        }
        nextIndex += entries;
    }

    /**
     * Records that the follower has all entries up to this index on disk.
     *
     * @param lastIndex last index of the leader's log
     * @return whether the durable index has advanced
     */
    boolean onDurable(long index, long lastIndex, long nowMs) {
        if (index <= durableIndex || index > lastIndex) {
            return false;
        }
        durableIndex = index;
        nextIndex = Math.max(nextIndex, index + 1);
        waitingSinceMs = index >= lastIndex ? NEVER : nowMs;
        return true;
    }

    /**
     * Records the answer to a heartbeat. A follower that was unreachable could not acknowledge entries, so its
     * acknowledgement time-out restarts when it answers again.
     */
    void onHeartbeatResponse(boolean unhealthy, boolean superseded, long nowMs, int healthyTimeoutMs) {
        if (!wasHeardWithin(nowMs, healthyTimeoutMs) && waitingSinceMs != NEVER) {
            waitingSinceMs = nowMs;
        }
        lastHeardAtMs = nowMs;
        diskUnhealthy = unhealthy;
        if (!superseded) {
            supersededSinceMs = NEVER;
        } else if (supersededSinceMs == NEVER) {
            supersededSinceMs = nowMs;
        }
    }

    /** Time of the last acknowledgement or retransmission, whichever is later. */
    long stalledSinceMs() {
        return Math.max(waitingSinceMs, resentAtMs);
    }

    /** Whether the connection was reset after entries were last sent or acknowledged. */
    boolean mayHaveLostEntries() {
        return disconnectedAtMs >= stalledSinceMs();
    }

    /** Makes the leader retransmit entries from this index on. */
    void resendFrom(long index, long nowMs) {
        resentAtMs = nowMs;
        nextIndex = index;
    }

    /** Called when the connection to the follower was refused or reset. */
    void onDisconnected(long nowMs) {
        disconnectedAtMs = nowMs;
    }

    /** Restarts all time-outs after the leader process was paused, so that nothing counts as late because of it. */
    void resetTimers(long lastIndex, long nowMs) {
        lastHeardAtMs = nowMs;
        waitingSinceMs = durableIndex < lastIndex ? nowMs : NEVER;
        disconnectedAtMs = LONG_AGO_MS;
        supersededSinceMs = NEVER;
    }
}
