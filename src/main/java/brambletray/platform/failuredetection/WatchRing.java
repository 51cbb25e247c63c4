package brambletray.platform.failuredetection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The peers of one roster on a ring, ordered by the hash of their names. Each peer is watched by the next three active
 * ones. If those are all in its own zone, the next one of another zone replaces the third, so that the failure of a
 * whole zone is detected from outside it.
 */
public final class WatchRing {
    /** Membership messages and their parts, for registration with the codec. */
    public static final List<Class<?>> MESSAGES = List.of(
            Peer.class,
            Roster.class,
            EdgeHello.class,
            EdgeWelcome.class,
            Heartbeat.class,
            SuspicionReport.class,
            SuspicionWithdrawal.class);

    /** Number of watchers per peer. */
    public static final int WATCHERS = 3;

    private final Roster roster;
    private final Map<String, List<Peer>> watchers = new HashMap<>();
    private final Map<String, List<Peer>> watchedPeers = new HashMap<>();

    /** Selects the watchers of each peer of this roster. */
    public WatchRing(Roster roster) {
        this.roster = roster;
        Peer[] ringOrder = roster.peers().toArray(new Peer[0]);
        Arrays.sort(ringOrder, (a, b) -> {
            int order = Long.compareUnsigned(StableHash.of(a.name()), StableHash.of(b.name()));
            return order != 0 ? order : a.name().compareTo(b.name());
        });
        for (int i = 0; i < ringOrder.length; i++) {
            List<Peer> chosen = chooseWatchers(ringOrder, i);
            watchers.put(ringOrder[i].name(), chosen);
            for (Peer watcher : chosen) {
                watchedPeers
                        .computeIfAbsent(watcher.name(), name -> new ArrayList<>())
                        .add(ringOrder[i]);
            }
        }
    }

    /** The roster that this ring was built from. */
    public Roster roster() {
        return roster;
    }

    /** Peers to which this peer sends heartbeats; empty if it is not listed or has no other active peer. */
    public List<Peer> watchersOf(String name) {
        return watchers.getOrDefault(name, List.of());
    }

    /** Peers whose heartbeats this peer receives. */
    public List<Peer> watchedBy(String name) {
        return watchedPeers.getOrDefault(name, List.of());
    }

    private static List<Peer> chooseWatchers(Peer[] ringOrder, int index) {
        String zone = ringOrder[index].zone();
        List<Peer> chosen = new ArrayList<>(WATCHERS);
        boolean hasOtherZone = false;
        for (int step = 1; step < ringOrder.length; step++) {
            Peer peer = ringOrder[(index + step) % ringOrder.length];
            boolean inOtherZone = !peer.zone().equals(zone);
            if (!peer.isActive()) {
                continue;
            }
            if (chosen.size() < WATCHERS) {
                chosen.add(peer);
                hasOtherZone |= inOtherZone;
            } else if (inOtherZone) {
                chosen.set(WATCHERS - 1, peer);
                hasOtherZone = true;
            }
            if (hasOtherZone && chosen.size() == WATCHERS) {
                break;
            }
        }
        return chosen;
    }
}
