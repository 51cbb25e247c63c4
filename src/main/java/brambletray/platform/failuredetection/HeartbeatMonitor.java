package brambletray.platform.failuredetection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An edge's part in failure detection: sends heartbeats to its watchers, and suspects watched peers whose heartbeats
 * are missing. After a pause of this process it first restarts all time-outs, because heartbeats of others may be
 * waiting unread. Does no I/O; times are ms of a monotonic clock.
 */
public final class HeartbeatMonitor {
    /** Callbacks of the monitor. */
    public interface Actions {
        /** Sends a heartbeat to a watcher. */
        void sendHeartbeat(Peer watcher, Heartbeat heartbeat);

        /** Sends a report to the coordinator. */
        void reportSuspicion(SuspicionReport report);

        /** Sends a withdrawal to the coordinator. */
        void withdrawSuspicion(SuspicionWithdrawal withdrawal);

        /** This process did not run for this long; its information may be outdated. */
        void onProcessPaused(long durationMs);
    }

    /** Time without a heartbeat, in half intervals, after which a watched peer is suspected. */
    private static final int TIMEOUT_HALF_INTERVALS = 7;
    /**
     * Additional intervals allowed for the first heartbeat of a watched peer: it may learn of this process later than
     * this process learns of it, and has to connect first.
     */
    private static final int FIRST_HEARTBEAT_INTERVALS = 5;
    /** Intervals between two ticks above which this process is considered to have been paused. */
    private static final int PAUSE_INTERVALS = 3;
    /** Intervals after which a suspicion is reported again, because a new coordinator does not know of it. */
    private static final int REPORT_INTERVALS = 5;

    private static final class WatchedPeer {
        private final Peer peer;
        private long deadlineMs;
        private boolean suspected;
        private long reportedAtMs;

        private WatchedPeer(Peer peer) {
            this.peer = peer;
        }
    }

    private final String name;
    private final int intervalMs;
    private final Actions actions;
    private final Map<String, WatchedPeer> watchedPeers = new HashMap<>();
    private List<Peer> watchers = List.of();
    private Heartbeat heartbeat;
    private long lastTickMs = Long.MIN_VALUE;
    private long nextHeartbeatMs = Long.MIN_VALUE;

    /** {@code intervalMs}: ms between two heartbeats; {@link #tick} has to be called at least as often. */
    public HeartbeatMonitor(Peer self, int intervalMs, Actions actions) {
        this.name = self.name();
        this.intervalMs = intervalMs;
        this.actions = actions;
        this.heartbeat = new Heartbeat(name, self.incarnation(), 0, self.state());
    }

    /** Sets the state and revision that the next heartbeats carry. */
    public void updateSelf(Peer self, long revision) {
        heartbeat = new Heartbeat(name, self.incarnation(), revision, self.state());
    }

    /**
     * Switches to the ring of another roster. Peers that stay watched keep their time-out; new ones get a longer one.
     */
    public void updateRing(WatchRing ring, long nowMs) {
        watchers = ring.watchersOf(name);
        Map<String, WatchedPeer> previous = new HashMap<>(watchedPeers);
        watchedPeers.clear();
        for (Peer peer : ring.watchedBy(name)) {
            WatchedPeer watched = previous.get(peer.name());
            if (watched == null || watched.peer.incarnation() != peer.incarnation()) {
                watched = new WatchedPeer(peer);
                watched.deadlineMs = nowMs + timeoutMs() + (long) FIRST_HEARTBEAT_INTERVALS * intervalMs;
            }
            watchedPeers.put(peer.name(), watched);
        }
        nextHeartbeatMs = nowMs;
    }

    /** Restarts the time-out of a watched peer, and withdraws the suspicion of it if there is one. */
    public void onHeartbeat(Heartbeat heartbeat, long nowMs) {
        WatchedPeer watched = watchedPeers.get(heartbeat.name());
        if (watched == null || watched.peer.incarnation() != heartbeat.incarnation()) {
            return;
        }
        watched.deadlineMs = Math.max(watched.deadlineMs, nowMs + timeoutMs());
        if (watched.suspected) {
            watched.suspected = false;
            actions.withdrawSuspicion(new SuspicionWithdrawal(heartbeat.name(), heartbeat.incarnation(), name));
        }
    }

    /** When {@link #tick} next has something to do, unless a heartbeat arrives before that. */
    public long nextDueMs() {
        long dueMs = nextHeartbeatMs;
        for (WatchedPeer watched : watchedPeers.values()) {
            long peerDueMs = watched.suspected
                    ? watched.reportedAtMs + (long) REPORT_INTERVALS * intervalMs
                    : watched.deadlineMs;
            dueMs = Math.min(dueMs, peerDueMs);
        }
        return dueMs;
    }

    /** Sends due heartbeats and reports; to be called at {@link #nextDueMs}, and at least once per interval. */
    public void tick(long nowMs) {
        long previous = lastTickMs;
        lastTickMs = nowMs;
        if (previous != Long.MIN_VALUE && nowMs - previous > (long) PAUSE_INTERVALS * intervalMs) {
            for (WatchedPeer watched : watchedPeers.values()) {
                watched.deadlineMs = Math.max(watched.deadlineMs, nowMs + timeoutMs());
            }
            actions.onProcessPaused(nowMs - previous);
        }
        if (nowMs >= nextHeartbeatMs) {
            nextHeartbeatMs = nowMs - nextHeartbeatMs < intervalMs && nextHeartbeatMs != Long.MIN_VALUE
                    ? nextHeartbeatMs + intervalMs
                    : nowMs + intervalMs;
            for (Peer watcher : watchers) {
                actions.sendHeartbeat(watcher, heartbeat);
            }
        }
        for (WatchedPeer watched : watchedPeers.values()) {
            if (nowMs >= watched.deadlineMs
                    && (!watched.suspected || nowMs - watched.reportedAtMs >= (long) REPORT_INTERVALS * intervalMs)) {
                watched.suspected = true;
                watched.reportedAtMs = nowMs;
                actions.reportSuspicion(new SuspicionReport(watched.peer.name(), watched.peer.incarnation(), name));
            }
        }
    }

    /**
     * A coordinator has accepted this process: the next tick reports all suspicions to it. But if this process suspects
     * all of several watched peers and had lost the coordinator as well, it was probably isolated itself, so it drops
     * the suspicions and restarts the time-outs.
     */
    public void onCoordinatorConnected() {
        boolean allSuspected = watchedPeers.size() > 1;
        for (WatchedPeer watched : watchedPeers.values()) {
            allSuspected &= watched.suspected;
            watched.reportedAtMs = Long.MIN_VALUE / 2;
        }
        if (allSuspected) {
            for (WatchedPeer watched : watchedPeers.values()) {
                watched.suspected = false;
                watched.deadlineMs = lastTickMs + timeoutMs();
            }
        }
    }

    /** Names of the currently suspected peers, sorted. */
    public List<String> suspected() {
        return watchedPeers.values().stream()
                .filter(watched -> watched.suspected)
                .map(watched -> watched.peer.name())
                .sorted()
                .toList();
    }

    private long timeoutMs() {
        return (long) TIMEOUT_HALF_INTERVALS * intervalMs / 2;
    }
}
