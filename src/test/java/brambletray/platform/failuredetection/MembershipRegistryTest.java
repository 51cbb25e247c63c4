package brambletray.platform.failuredetection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MembershipRegistryTest {
    private static final long TERM = 7;

    private final List<Roster> published = new ArrayList<>();
    private final MembershipRegistry registry = new MembershipRegistry(TERM, 0, (roster, why) -> published.add(roster));

    private static Peer peer(int number) {
        return new Peer("edge-" + number, "zone-" + number % 3, "10.0.0." + number + ":7400", 1, Peer.ACTIVE);
    }

    private static Roster previousRoster(int peers) {
        List<Peer> all = new ArrayList<>();
        for (int i = 0; i < peers; i++) {
            all.add(peer(i));
        }
        return Roster.of(TERM - 1, 40, all);
    }

    private void tickUntil(long from, long until) {
        for (long now = from; now < until; now += 50) {
            registry.tick(now);
        }
    }

    private void startWith(int peers) {
        for (int i = 0; i < peers; i++) {
            registry.onHello(new EdgeHello(peer(i), 0, 0, 0, 0), 0);
        }
        tickUntil(0, 2_500);
        assertEquals(1, published.size());
    }

    @Test
    void waitsForAnAnnouncedRoster() {
        registry.onHello(new EdgeHello(peer(0), TERM - 1, 40, 0, 0), 0);
        tickUntil(0, 1_500);
        assertEquals(List.of(), published);
        registry.onReportedRoster(previousRoster(5), 1_500);
        tickUntil(1_500, 1_600);
        assertEquals(5, published.get(0).peers().size());
    }

    @Test
    void stopsWaitingForAnAnnouncedRosterAfterTheGracePeriod() {
        registry.onHello(new EdgeHello(peer(0), TERM - 1, 40, 0, 0), 0);
        tickUntil(0, MembershipRegistry.REPORTED_GRACE_MS + 100);
        assertEquals(1, published.get(0).peers().size());
    }

    @Test
    void usesTheNewestReportedRosterOfAnEarlierTerm() {
        registry.onHello(new EdgeHello(peer(0), TERM - 1, 40, 0, 0), 0);
        registry.onReportedRoster(previousRoster(5), 0);
        registry.onReportedRoster(Roster.of(TERM - 2, 90, List.of(peer(9))), 0);
        registry.onReportedRoster(Roster.of(TERM, 90, List.of(peer(8))), 0);
        tickUntil(0, 100);
        assertEquals(previousRoster(5).peers(), published.get(0).peers());
    }

    @Test
    void aReporterOfAllOtherWatchersIsNotTheOnlyHealthyWatcher() {
        startWith(12);
        Peer suspect = peer(0);
        List<Peer> watchers = new WatchRing(published.get(0)).watchersOf(suspect.name());
        String reporter = watchers.get(0).name();
        for (Peer one : List.of(suspect, watchers.get(1), watchers.get(2))) {
            registry.onSuspicion(new SuspicionReport(one.name(), one.incarnation(), reporter));
        }
        tickUntil(2_500, 5_000);
        assertEquals(1, published.size());
        for (Peer dead : List.of(watchers.get(1), watchers.get(2))) {
            registry.onDisconnected(dead.name(), dead.incarnation(), 5_000);
        }
        tickUntil(5_000, 5_200);
        assertNull(
                published.get(published.size() - 1).find(suspect.name()),
                "two watchers are removed, and the third suspects it");
    }

    @Test
    void ignoresReportsAboutAnotherIncarnationOrFromUnknownPeers() {
        startWith(6);
        for (int i = 1; i < 4; i++) {
            registry.onSuspicion(new SuspicionReport("edge-0", 99, "edge-" + i));
            registry.onSuspicion(new SuspicionReport("edge-0", 1, "unknown-" + i));
        }
        registry.onSuspicion(new SuspicionReport("edge-0", 1, "edge-0"));
        registry.onSuspicion(new SuspicionReport("edge-0", 1, "edge-1"));
        tickUntil(2_500, 5_000);
        assertEquals(1, published.size());
    }

    @Test
    void ignoresWithdrawnSuspicions() {
        startWith(6);
        registry.onSuspicion(new SuspicionReport("edge-0", 1, "edge-1"));
        registry.onWithdrawal(new SuspicionWithdrawal("edge-0", 1, "edge-1"));
        registry.onSuspicion(new SuspicionReport("edge-0", 1, "edge-2"));
        tickUntil(2_500, 5_000);
        assertEquals(1, published.size());
    }

    @Test
    void publishesOneRosterForSimultaneousChanges() {
        startWith(40);
        for (int i = 0; i < 20; i++) {
            registry.onHello(new EdgeHello(peer(i).asLeaving(), TERM, 1, 0, 0), 3_000);
        }
        tickUntil(3_000, 3_100);
        assertEquals(2, published.size());
        assertEquals(Peer.LEAVING, published.get(1).find("edge-3").state());
        assertNotNull(published.get(1).find("edge-30"));
        assertTrue(published.get(1).isNewerThan(published.get(0)));
    }
}
