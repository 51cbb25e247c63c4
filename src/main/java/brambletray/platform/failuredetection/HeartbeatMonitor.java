package brambletray.platform.failuredetection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An edge's part in failure detection: sends heartbeats to its watchers, and suspects the peers that it watches when
 * theirs are missing. A process that was paused restarts all time-outs first, as the heartbeats of others may lie
 * unread. Pure; times are ms of a steady clock.
 */
public final class HeartbeatMonitor {
    /** What the monitor wants done. */
    public interface Actions {
        /** Sends this to a watcher. */
        void sendHeartbeat(Peer watcher, Heartbeat heartbeat);

        /** Sends this to the coordinator. */
        void reportSuspicion(SuspicionReport report);

        /** Sends this to the coordinator. */
        void withdrawSuspicion(SuspicionWithdrawal withdrawal);

        /** This process did not run for so long; what it knows may be old. */
        void onProcessPaused(long durationMs);
    }

    /** Half intervals without a heartbeat until a watched peer is suspected. */
    private static final int TIMEOUT_HALF_INTERVALS = 7;
    /**
     * Intervals that a watched peer has beyond that for its first heartbeat: it may learn of this process later than
     * the other way round, and has to connect.
     */
    private static final int FIRST_HEARTBEAT_INTERVALS = 5;
    /** Intervals between two ticks from which on this process counts as paused. */
    private static final int PAUSE_INTERVALS = 3;
    /** Intervals after which a suspicion is reported again, as a new coordinator does not know it. */
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

    /** {@code intervalMs}: ms between two heartbeats; {@link #tick} is to be called as often, or more often. */
    public HeartbeatMonitor(Peer self, int intervalMs, Actions actions) {
        this.name = self.name();
        this.intervalMs = intervalMs;
        this.actions = actions;
        this.heartbeat = new Heartbeat(name, self.incarnation(), 0, self.state());
    }

    /** What the next heartbeats say of this process. */
    public void updateSelf(Peer self, long revision) {
        heartbeat = new Heartbeat(name, self.incarnation(), revision, self.state());
    }

    /** Another roster applies: peers that stay keep their time-out, new ones have a longer one. */
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

    /** A heartbeat has come. */
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

    /** When {@link #tick} has something to do next, unless a heartbeat comes before. */
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

    /** Time has passed: to be called at {@link #nextDueMs}, and at least each interval. */
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
     * A coordinator has accepted this process: the next tick reports to it what is suspected. But a process that
     * misses all its peers, and was out of touch with the coordinator as well, suspects itself: it was cut off rather
     * than they, and its time-outs start again.
     */
    public void onCoordinatorConnected() {
        boolean all = watchedPeers.size() > 1;
        for (WatchedPeer watched : watchedPeers.values()) {
            all &= watched.suspected;
            watched.reportedAtMs = Long.MIN_VALUE / 2;
        }
        if (all) {
            for (WatchedPeer watched : watchedPeers.values()) {
                watched.suspected = false;
                watched.deadlineMs = lastTickMs + timeoutMs();
            }
        }
    }

    /** Names of peers whose heartbeats are missing now. */
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
