package brambletray.platform.replication;

/**
 * What the leader knows of one follower: how far its log is durable, what was sent to it, and when it was last heard.
 * Times are ms of the steady clock.
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

    /** A follower of a view that begins with a log that ends at {@code lastIndex}, which it has on disk. */
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

    /** First index that was not sent to the follower yet. */
    long nextIndex() {
        return nextIndex;
    }

    /** Whether it was heard within so many ms, and has not promised to a higher ballot. */
    boolean isResponsive(long nowMs, int withinMs) {
        return supersededSinceMs == NEVER && wasHeardWithin(nowMs, withinMs);
    }

    boolean wasHeardWithin(long nowMs, int withinMs) {
        return nowMs - lastHeardAtMs <= withinMs;
    }

    /** Whether it was silent for longer than the time-out, or for a while after its connection was reset. */
    boolean isSilent(long nowMs, int timeoutMs, int disconnectedTimeoutMs) {
        boolean disconnected = disconnectedAtMs >= lastHeardAtMs && !wasHeardWithin(nowMs, disconnectedTimeoutMs);
        return disconnected || !wasHeardWithin(nowMs, timeoutMs);
    }

    /** Whether its disk is in trouble, or entries wait for its acknowledgement for longer than the time-out. */
    boolean isSlow(long nowMs, int ackTimeoutMs) {
        return diskUnhealthy || waitingSinceMs != NEVER && nowMs - waitingSinceMs > ackTimeoutMs;
    }

    /** Whether it has been stopped for the view change of another for longer than this. */
    boolean isSupersededFor(long nowMs, int timeoutMs) {
        return supersededSinceMs != NEVER && nowMs - supersededSinceMs > timeoutMs;
    }

    /** Entries from {@link #nextIndex} on have been sent. */
    void onSent(int entries, long nowMs) {
        if (waitingSinceMs == NEVER) {
            waitingSinceMs = nowMs;
        }
        nextIndex += entries;
    }

    /**
     * Entries up to this index are on its disk; {@code lastIndex}: of the leader's log. Whether the index has
     * advanced.
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
     * A heartbeat was answered. A follower that was away could not acknowledge: its disk is timed from its return.
     */
    void onHeartbeatResponse(boolean unhealthy, boolean superseded, long nowMs, int silenceMs) {
        if (!wasHeardWithin(nowMs, silenceMs) && waitingSinceMs != NEVER) {
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

    /** Since when nothing has moved: the last acknowledgement, or the last time that entries were sent again. */
    long stalledSinceMs() {
        return Math.max(waitingSinceMs, resentAtMs);
    }

    /** Whether the connection was reset since entries were last on their way. */
    boolean mayHaveLostEntries() {
        return disconnectedAtMs >= stalledSinceMs();
    }

    /** Entries are sent again from this index on. */
    void resendFrom(long index, long nowMs) {
        resentAtMs = nowMs;
        nextIndex = index;
    }

    /** The connection to the follower was refused or reset. */
    void onDisconnected(long nowMs) {
        disconnectedAtMs = nowMs;
    }

    /** The leader was paused: nothing counts as late before the time-outs have run anew. */
    void resetTimers(long lastIndex, long nowMs) {
        lastHeardAtMs = nowMs;
        waitingSinceMs = durableIndex < lastIndex ? nowMs : NEVER;
        disconnectedAtMs = LONG_AGO_MS;
        supersededSinceMs = NEVER;
    }
}
