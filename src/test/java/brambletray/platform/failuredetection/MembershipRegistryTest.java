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

    private final List<Roster> said = new ArrayList<>();
    private final MembershipRegistry membership = new MembershipRegistry(TERM, 0, (roster, why) -> said.add(roster));

    private static Peer peer(int number) {
        return new Peer("edge-" + number, "zone-" + number % 3, "10.0.0." + number + ":7400", 1, Peer.ACTIVE);
    }

    private static Roster old(int peers) {
        List<Peer> all = new ArrayList<>();
        for (int i = 0; i < peers; i++) {
            all.add(peer(i));
        }
        return Roster.of(TERM - 1, 40, all);
    }

    private void run(long from, long until) {
        for (long now = from; now < until; now += 50) {
            membership.tick(now);
        }
    }

    private void begin(int peers) {
        for (int i = 0; i < peers; i++) {
            membership.onHello(new EdgeHello(peer(i), 0, 0, 0, 0), 0);
        }
        run(0, 2_500);
        assertEquals(1, said.size());
    }

    @Test
    void aRosterThatAnEdgeSpeaksOfIsWaitedFor() {
        membership.onHello(new EdgeHello(peer(0), TERM - 1, 40, 0, 0), 0);
        run(0, 1_500);
        assertEquals(List.of(), said);
        membership.onReportedRoster(old(5), 1_500);
        run(1_500, 1_600);
        assertEquals(5, said.get(0).peers().size());
    }

    @Test
    void aRosterThatIsNeverToldIsNotWaitedForForever() {
        membership.onHello(new EdgeHello(peer(0), TERM - 1, 40, 0, 0), 0);
        run(0, MembershipRegistry.REPORTED_GRACE_MS + 100);
        assertEquals(1, said.get(0).peers().size());
    }

    @Test
    void theNewestRosterThatIsToldCounts() {
        membership.onHello(new EdgeHello(peer(0), TERM - 1, 40, 0, 0), 0);
        membership.onReportedRoster(old(5), 0);
        membership.onReportedRoster(Roster.of(TERM - 2, 90, List.of(peer(9))), 0);
        membership.onReportedRoster(Roster.of(TERM, 90, List.of(peer(8))), 0);
        run(0, 100);
        assertEquals(old(5).peers(), said.get(0).peers());
    }

    @Test
    void whoAccusesAllWatchersOfOneIsNotTakenForTheOnlyOneThatLives() {
        begin(12);
        Peer accused = peer(0);
        List<Peer> watchers = new WatchRing(said.get(0)).watchersOf(accused.name());
        String accuser = watchers.get(0).name();
        for (Peer one : List.of(accused, watchers.get(1), watchers.get(2))) {
            membership.onSuspicion(new SuspicionReport(one.name(), one.incarnation(), accuser));
        }
        run(2_500, 5_000);
        assertEquals(1, said.size());
        for (Peer dead : List.of(watchers.get(1), watchers.get(2))) {
            membership.onDisconnected(dead.name(), dead.incarnation(), 5_000);
        }
        run(5_000, 5_200);
        assertNull(said.get(said.size() - 1).find(accused.name()), "two watchers are gone, and the third misses it");
    }

    @Test
    void aWordAboutAnotherLifeOrOfAStrangerCountsForNothing() {
        begin(6);
        for (int i = 1; i < 4; i++) {
            membership.onSuspicion(new SuspicionReport("edge-0", 99, "edge-" + i));
            membership.onSuspicion(new SuspicionReport("edge-0", 1, "stranger-" + i));
        }
        membership.onSuspicion(new SuspicionReport("edge-0", 1, "edge-0"));
        membership.onSuspicion(new SuspicionReport("edge-0", 1, "edge-1"));
        run(2_500, 5_000);
        assertEquals(1, said.size());
    }

    @Test
    void aWordThatIsTakenBackCountsForNothing() {
        begin(6);
        membership.onSuspicion(new SuspicionReport("edge-0", 1, "edge-1"));
        membership.onWithdrawal(new SuspicionWithdrawal("edge-0", 1, "edge-1"));
        membership.onSuspicion(new SuspicionReport("edge-0", 1, "edge-2"));
        run(2_500, 5_000);
        assertEquals(1, said.size());
    }

    @Test
    void manyChangesAtOnceAreOneRoster() {
        begin(40);
        for (int i = 0; i < 20; i++) {
            membership.onHello(new EdgeHello(peer(i).asLeaving(), TERM, 1, 0, 0), 3_000);
        }
        run(3_000, 3_100);
        assertEquals(2, said.size());
        assertEquals(Peer.LEAVING, said.get(1).find("edge-3").state());
        assertNotNull(said.get(1).find("edge-30"));
        assertTrue(said.get(1).isNewerThan(said.get(0)));
    }
}
