package brambletray.platform.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class HomeAssignmentTest {
    private static final int SERVICES = 700;

    private static Roster roster(int zones, int each) {
        List<Peer> peers = new ArrayList<>();
        for (int zone = 0; zone < zones; zone++) {
            for (int i = 0; i < each; i++) {
                peers.add(new Peer(
                        "edge-" + zone + "-" + i, "zone-" + zone, "10." + zone + ".0." + i + ":7400", 1, Peer.ACTIVE));
            }
        }
        return Roster.of(1, 1, peers);
    }

    private static Roster without(Roster roster, String name) {
        return Roster.of(
                1,
                roster.number() + 1,
                roster.peers().stream()
                        .filter(peer -> !peer.name().equals(name))
                        .toList());
    }

    @Test
    void distributesServicesEvenly() {
        HomeAssignment homes = new HomeAssignment(roster(3, 30));
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < SERVICES; i++) {
            counts.merge(homes.homeOf("svc-" + i, "zone-1").name(), 1, Integer::sum);
            counts.merge(homes.rootZone("svc-" + i), 1, Integer::sum);
        }
        for (int zone = 0; zone < 3; zone++) {
            int roots = counts.remove("zone-" + zone);
            assertTrue(roots > SERVICES / 4 && roots < SERVICES / 2, "roots " + roots);
        }
        assertEquals(30, counts.size());
        assertTrue(counts.values().stream().allMatch(count -> count < 3 * SERVICES / 30), counts.toString());
    }

    @Test
    void removingAPeerMovesOnlyItsServicesToTheNextBest() {
        Roster before = roster(3, 4);
        HomeAssignment old = new HomeAssignment(before);
        HomeAssignment now = new HomeAssignment(without(before, "edge-1-2"));
        for (int i = 0; i < SERVICES; i++) {
            String service = "svc-" + i;
            for (String zone : old.zones()) {
                Peer home = old.homeOf(service, zone);
                List<Peer> ranked = old.homes(service, zone, 2);
                assertSame(home, ranked.get(0));
                assertEquals(home.name().equals("edge-1-2") ? ranked.get(1) : home, now.homeOf(service, zone));
            }
            assertEquals(old.rootZone(service), now.rootZone(service));
        }
    }

    @Test
    void removingAZoneMovesOnlyItsRoots() {
        Roster before = roster(3, 2);
        HomeAssignment old = new HomeAssignment(before);
        HomeAssignment now = new HomeAssignment(without(without(before, "edge-1-0"), "edge-1-1"));
        for (int i = 0; i < SERVICES; i++) {
            String root = old.rootZone("svc-" + i);
            if (root.equals("zone-1")) {
                assertNotEquals(root, now.rootZone("svc-" + i));
            } else {
                assertEquals(root, now.rootZone("svc-" + i));
            }
        }
        assertNull(now.homeOf("svc-1", "zone-1"));
        assertEquals(List.of(), now.homes("svc-1", "zone-1", 3));
        assertNull(new HomeAssignment(Roster.NONE).rootOf("svc-1"));
    }

    @Test
    void aLeavingPeerIsNoHome() {
        Peer going = roster(1, 3).find("edge-0-1").asLeaving();
        List<Peer> peers = new ArrayList<>(without(roster(1, 3), "edge-0-1").peers());
        peers.add(going);
        HomeAssignment homes = new HomeAssignment(Roster.of(1, 2, peers));
        for (int i = 0; i < SERVICES; i++) {
            assertNotEquals(going.name(), homes.homeOf("svc-" + i, "zone-0").name());
        }
    }

    @Test
    void eachPeerHasThreeWatchersOneInAnotherZone() {
        Roster roster = roster(3, 9);
        WatchRing ring = new WatchRing(roster);
        int watched = 0;
        for (Peer peer : roster.peers()) {
            List<Peer> watchers = ring.watchersOf(peer.name());
            Set<Peer> others = new HashSet<>(watchers);
            others.remove(peer);
            assertEquals(WatchRing.WATCHERS, others.size());
            assertTrue(watchers.stream().anyMatch(watcher -> !watcher.zone().equals(peer.zone())));
            watchers.forEach(
                    watcher -> assertTrue(ring.watchedBy(watcher.name()).contains(peer)));
            watched += ring.watchedBy(peer.name()).size();
        }
        assertEquals(WatchRing.WATCHERS * roster.peers().size(), watched);
    }

    @Test
    void theOnlyPeerOfAnotherZoneWatchesAllOthers() {
        List<Peer> peers = new ArrayList<>(roster(1, 20).peers());
        peers.add(new Peer("far", "zone-9", "10.9.0.1:7400", 1, Peer.ACTIVE));
        WatchRing ring = new WatchRing(Roster.of(1, 1, peers));
        assertEquals(20, ring.watchedBy("far").size());
    }

    /** All processes, also of different versions, must compute the same hashes, so they must not change unnoticed. */
    @Test
    void hashesAreStable() {
        assertEquals(HASH_OF_A, StableHash.of("a"));
        assertEquals(
                "edge-0-1",
                new HomeAssignment(roster(1, 3)).homeOf("svc-1", "zone-0").name());
    }

    private static final long HASH_OF_A = 198_367_012_849_983_736L;
}
