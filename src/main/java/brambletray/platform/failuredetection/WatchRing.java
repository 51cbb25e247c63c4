package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The peers of one roster on a ring, by the hash of their names: each is watched by the next three active ones. If
 * those are all of its own zone, the third is the next one of another zone, so that a zone that falls silent is
 * noticed from outside.
 */
public final class WatchRing {
    /** Messages about membership between edges and coordinator. */
    public static final List<Class<?>> MESSAGES = List.of(
            Peer.class,
            Roster.class,
            EdgeHello.class,
            EdgeWelcome.class,
            Heartbeat.class,
            SuspicionReport.class,
            SuspicionWithdrawal.class);

    /** Watchers of each peer. */
    public static final int WATCHERS = 3;

    private final Roster roster;
    private final Map<String, List<Peer>> watchers = new HashMap<>();
    private final Map<String, List<Peer>> watchedPeers = new HashMap<>();

    /** The ring of this roster. */
    public WatchRing(Roster roster) {
        this.roster = roster;
        Peer[] circle = roster.peers().toArray(new Peer[0]);
        Arrays.sort(circle, (a, b) -> {
            int order = Long.compareUnsigned(StableHash.of(a.name()), StableHash.of(b.name()));
            return order != 0 ? order : a.name().compareTo(b.name());
        });
        for (int i = 0; i < circle.length; i++) {
            List<Peer> chosen = chooseWatchers(circle, i);
            watchers.put(circle[i].name(), chosen);
            for (Peer watcher : chosen) {
                watchedPeers
                        .computeIfAbsent(watcher.name(), name -> new ArrayList<>())
                        .add(circle[i]);
            }
        }
    }

    /** The roster that it follows. */
    public Roster roster() {
        return roster;
    }

    /** Peers to which this peer sends heartbeats; none if it is not listed, or alone. */
    public List<Peer> watchersOf(String name) {
        return watchers.getOrDefault(name, List.of());
    }

    /** Peers whose heartbeats this peer receives. */
    public List<Peer> watchedBy(String name) {
        return watchedPeers.getOrDefault(name, List.of());
    }

    private static List<Peer> chooseWatchers(Peer[] circle, int at) {
        String zone = circle[at].zone();
        List<Peer> chosen = new ArrayList<>(WATCHERS);
        boolean elsewhere = false;
        for (int step = 1; step < circle.length; step++) {
            Peer peer = circle[(at + step) % circle.length];
            boolean other = !peer.zone().equals(zone);
            if (!peer.isActive()) {
                continue;
            }
            if (chosen.size() < WATCHERS) {
                chosen.add(peer);
                elsewhere |= other;
            } else if (other) {
                chosen.set(WATCHERS - 1, peer);
                elsewhere = true;
            }
            if (elsewhere && chosen.size() == WATCHERS) {
                break;
            }
        }
        return chosen;
    }
}
