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
    public interface Hands {
        /** Say this to a watcher. */
        void beat(Peer watcher, Heartbeat beat);

        /** Say this to the hub. */
        void suspect(SuspicionReport suspect);

        /** Say this to the hub. */
        void trust(SuspicionWithdrawal trust);

        /** This process did not run for so long; what it believes may be old. */
        void slept(long ms);
    }

    /** Intervals without a beat until a ward is suspected, in halves. */
    private static final int MISSED_HALVES = 7;
    /**
     * Intervals that a ward has beyond that for its first beat: it may learn of us later than we of it, and has to
     * connect.
     */
    private static final int FIRST = 5;
    /** Intervals between two ticks from which on we have slept. */
    private static final int SLEPT = 3;
    /** Intervals after which a suspicion is said again, as a new hub does not know it. */
    private static final int AGAIN = 5;

    private static final class Ward {
        private final Peer peer;
        private long due;
        private boolean suspected;
        private long toldAt;

        private Ward(Peer peer) {
            this.peer = peer;
        }
    }

    private final String name;
    private final int intervalMs;
    private final Hands hands;
    private final Map<String, Ward> wards = new HashMap<>();
    private List<Peer> watchers = List.of();
    private Heartbeat beat;
    private long lastTick = Long.MIN_VALUE;
    private long nextBeat = Long.MIN_VALUE;

    /** {@code intervalMs}: ms between two beats; {@link #tick} is to be called about as often, or more often. */
    public HeartbeatMonitor(Peer self, int intervalMs, Hands hands) {
        this.name = self.name();
        this.intervalMs = intervalMs;
        this.hands = hands;
        this.beat = new Heartbeat(name, self.life(), 0, self.state());
    }

    /** What the next beats say of this process. */
    public void self(Peer self, long revision) {
        beat = new Heartbeat(name, self.life(), revision, self.state());
    }

    /** Another roster is in force: who stays keeps its wait, who is new has a longer one. */
    public void ring(WatchRing ring, long now) {
        watchers = ring.watchersOf(name);
        Map<String, Ward> before = new HashMap<>(wards);
        wards.clear();
        for (Peer peer : ring.wardsOf(name)) {
            Ward context = before.get(peer.name());
            if (context == null || context.peer.life() != peer.life()) {
                context = new Ward(peer);
                context.due = now + missed() + (long) FIRST * intervalMs;
            }
            wards.put(peer.name(), context);
        }
        nextBeat = now;
    }

    /** A beat has come. */
    public void heard(Heartbeat from, long now) {
        Ward context = wards.get(from.name());
        if (context == null || context.peer.life() != from.life()) {
            return;
        }
        context.due = Math.max(context.due, now + missed());
        if (context.suspected) {
            context.suspected = false;
            hands.trust(new SuspicionWithdrawal(from.name(), from.life(), name));
        }
    }

    /** Time has passed. */
    public void tick(long now) {
        long before = lastTick;
        lastTick = now;
        if (before != Long.MIN_VALUE && now - before > (long) SLEPT * intervalMs) {
            for (Ward context : wards.values()) {
                context.due = Math.max(context.due, now + missed());
            }
            hands.slept(now - before);
        }
        if (now >= nextBeat) {
            nextBeat = now - nextBeat < intervalMs && nextBeat != Long.MIN_VALUE
                    ? nextBeat + intervalMs
                    : now + intervalMs;
            for (Peer watcher : watchers) {
                hands.beat(watcher, beat);
            }
        }
        for (Ward context : wards.values()) {
            if (now >= context.due && (!context.suspected || now - context.toldAt >= (long) AGAIN * intervalMs)) {
                context.suspected = true;
                context.toldAt = now;
                hands.suspect(new SuspicionReport(context.peer.name(), context.peer.life(), name));
            }
        }
    }

    /**
     * A hub has welcomed us: the next tick tells it what is suspected. But who misses all its wards, and was out of the
     * hub's touch as well, doubts itself: it has been cut off rather than they, and waits anew.
     */
    public void hub() {
        boolean all = wards.size() > 1;
        for (Ward context : wards.values()) {
            all &= context.suspected;
            context.toldAt = Long.MIN_VALUE / 2;
        }
        if (all) {
            for (Ward context : wards.values()) {
                context.suspected = false;
                context.due = lastTick + missed();
            }
        }
    }

    /** Whose beats are missed now. */
    public List<String> suspected() {
        return wards.values().stream()
                .filter(context -> context.suspected)
                .map(context -> context.peer.name())
                .sorted()
                .toList();
    }

    private long missed() {
        return (long) MISSED_HALVES * intervalMs / 2;
    }
}
