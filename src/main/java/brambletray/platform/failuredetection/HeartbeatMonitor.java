package brambletray.platform.failuredetection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What an edge does on the ring: beats to its watchers, and suspects those whose beats it misses. One that slept doubts
 * itself first: it restarts all waits, as the others' beats may lie unread. Pure; times are ms of a steady clock.
 */
public final class HeartbeatMonitor {
    /** What is to be done. */
    public interface Actions {
        /** Say this to a watcher. */
        void sendHeartbeat(Peer watcher, Heartbeat heartbeat);

        /** Say this to the hub. */
        void reportSuspicion(SuspicionReport report);

        /** Say this to the hub. */
        void withdrawSuspicion(SuspicionWithdrawal withdrawal);

        /** This process did not run for so long; what it believes may be old. */
        void onProcessPaused(long durationMs);
    }

    /** Intervals without a beat until a ward is suspected, in halves. */
    private static final int TIMEOUT_HALF_INTERVALS = 7;
    /**
     * Intervals that a ward has beyond that for its first beat: it may learn of us later than we of it, and has to
     * connect.
     */
    private static final int FIRST_HEARTBEAT_INTERVALS = 5;
    /** Intervals between two ticks from which on we have slept. */
    private static final int PAUSE_INTERVALS = 3;
    /** Intervals after which a suspicion is said again, as a new hub does not know it. */
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

    /** {@code intervalMs}: ms between two beats; {@link #tick} is to be called about as often, or more often. */
    public HeartbeatMonitor(Peer self, int intervalMs, Actions actions) {
        this.name = self.name();
        this.intervalMs = intervalMs;
        this.actions = actions;
        this.heartbeat = new Heartbeat(name, self.incarnation(), 0, self.state());
    }

    /** What the next beats say of this process. */
    public void updateSelf(Peer self, long revision) {
        heartbeat = new Heartbeat(name, self.incarnation(), revision, self.state());
    }

    /** Another roster is in force: who stays keeps its wait, who is new has a longer one. */
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

    /** A beat has come. */
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

    /** Time has passed. */
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
     * A hub has welcomed us: the next tick tells it what is suspected. But who misses all its wards, and was out of the
     * hub's touch as well, doubts itself: it has been cut off rather than they, and waits anew.
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

    /** Whose beats are missed now. */
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
