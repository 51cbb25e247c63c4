package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The parts of the stand-in that decide: clients' tries, what must not be, where clients are sent. */
class StandInDecisionsTest {
    private static final Configuration CREED = SampleConfiguration.configuration();
    private static final byte[] NONE = new byte[0];

    private final ExecutionLedger ledger = new ExecutionLedger();
    private final List<String> done = new ArrayList<>();
    private int sent;

    private final TrafficRequest.Ways ways = new TrafficRequest.Ways() {
        @Override
        public String send(TrafficRequest visit, int turn, int remainingMs) {
            String id = "t" + sent++;
            visit.names(id, visit.attempt());
            done.add(turn + ":" + remainingMs);
            return id;
        }

        @Override
        public void pause(TrafficRequest visit, int ms) {
            done.add("pause " + ms);
        }

        @Override
        public void over(TrafficRequest visit, TrafficRequest.End end) {
            done.add(end.toString());
        }
    };

    private TrafficRequest visit(String route) {
        Route of = CREED.routes().get(route);
        TrafficRequest visit = new TrafficRequest(of, "east", 3, of.prefix() + "x", NONE, ledger, ways, 1_000);
        visit.go(1_000);
        return visit;
    }

    private void whole(TrafficRequest visit, String id, long now) {
        byte[] body = "abc".getBytes(StandardCharsets.US_ASCII);
        visit.answered(200, id, ResponseSeal.of("i-1", id, visit.method, visit.path, NONE, body), body, -1, now);
    }

    @Test
    void aRepeatableRequestGoesOnAfterAnyFailure() {
        TrafficRequest visit = visit("read-1");
        visit.broke(true, 1_100);
        visit.go(1_200);
        visit.answered(502, "t1", null, NONE, -1, 1_300);
        visit.go(1_500);
        whole(visit, "t2", 1_600);
        assertEquals(List.of("0:4000", "pause 100", "1:3800", "pause 200", "2:3500", "LATE"), done);
        assertEquals(0, ledger.wrong());
    }

    @Test
    void anotherOnlyAfterAPromise() {
        TrafficRequest visit = visit("pay-1");
        visit.answered(503, "t0", null, NONE, 3_000, 1_000);
        visit.go(2_333);
        visit.broke(true, 2_400);
        assertEquals(
                List.of("0:4000", "pause 1333", "1:2667", "FAILED"),
                done,
                "Retry-After counts up to a third of the time left");
    }

    @Test
    void triesEndAndSoDoesTheTime() {
        TrafficRequest visit = visit("read-1");
        for (int i = 0; i < 3; i++) {
            visit.broke(false, 1_000);
            visit.go(1_000);
        }
        visit.answered(429, "t3", null, NONE, 0, 1_000);
        assertEquals("REFUSED", done.get(done.size() - 1));
        done.clear();
        visit("read-1").broke(true, 4_950);
        assertEquals("FAILED", done.get(1));
    }

    @Test
    void whatBelongsToAnotherIsWrong() {
        whole(visit("read-1"), "t9", 1_100);
        TrafficRequest cut = visit("read-1");
        cut.answered(
                200,
                "t1",
                ResponseSeal.of("i-1", "t1", "GET", cut.path, NONE, "whole".getBytes(StandardCharsets.US_ASCII)),
                "who".getBytes(StandardCharsets.US_ASCII),
                -1,
                1_100);
        visit("read-1").answered(404, "t2", null, NONE, -1, 1_100);
        TrafficRequest other = visit("read-1");
        other.answered(200, "t2", ResponseSeal.of("i-1", "t3", "GET", other.path, NONE, NONE), NONE, -1, 1_100);
        assertEquals(4, ledger.wrong());
        assertTrue(
                ledger.complaints().get(2).contains("denied with 404"),
                ledger.complaints().toString());
    }

    @Test
    void whatRanTwiceOrAfterAPromiseIsSeen() {
        ledger.asked("a", false);
        ledger.ran("a", "i-1");
        ledger.ran("a", "i-2");
        assertEquals(1, ledger.twice());
        ledger.asked("b", false);
        ledger.promised("b", 503);
        ledger.again("b2", "b");
        ledger.ran("b2", "i-1");
        assertEquals(0, ledger.wrong(), "the next try may run");
        ledger.ran("b", "i-1");
        assertEquals(1, ledger.wrong());
        assertEquals(2, ledger.twice());
        ledger.asked("c", true);
        ledger.ran("c", "i-1");
        ledger.ran("c", "i-2");
        ledger.promised("c", 503);
        assertEquals(2, ledger.twice(), "this one may be repeated");
        ledger.ran("nobody's", "i-1");
        assertEquals(2, ledger.wrong());
    }

    @Test
    void clientsAreSentToEdgesThatSayTheyAreReady() {
        LocalSite site = LocalSite.of(1, 6, new LocalSite.Ports(1, 2, 3, 4, 5, 6), Path.of("x"));
        FrontEndBalancer fronts = new FrontEndBalancer(site.edges());
        assertEquals(0, fronts.in());
        for (LocalSite.ProcessSpec edge : site.edges()) {
            fronts.heard(edge.name(), true);
        }
        assertEquals("edge-1 edge-3 edge-5 edge-1", picks(fronts, "east", 4));
        fronts.heard("edge-3", false);
        assertEquals("edge-1 edge-3 edge-5", picks(fronts, "east", 3), "missed once");
        fronts.heard("edge-3", false);
        assertEquals("edge-1 edge-5", picks(fronts, "east", 2));
        fronts.heard("edge-1", false);
        fronts.heard("edge-1", false);
        assertEquals("edge-1 edge-3 edge-5", picks(fronts, "east", 3), "fewer than half are in: all are used");
        fronts.heard("edge-5", false);
        fronts.heard("edge-5", false);
        assertEquals("edge-2 edge-4 edge-6", picks(fronts, "east", 3), "none is in: the other zone's");
        fronts.heard("edge-3", true);
        assertEquals(4, fronts.in());
    }

    private static String picks(FrontEndBalancer fronts, String zone, int many) {
        StringBuilder picks = new StringBuilder();
        for (int turn = 0; turn < many; turn++) {
            picks.append(fronts.pick(zone, 0, turn).name()).append(' ');
        }
        return picks.toString().strip();
    }

    @Test
    void aSecondIsALine() {
        RequestCounts counts = new RequestCounts();
        counts.requests = 40;
        counts.answered = 39;
        counts.failed = 1;
        assertEquals(
                "    7        40        39     0        0       1      9     -  -",
                counts.turn().line(7, 9, 0, null));
        assertEquals(0, counts.requests);
        assertEquals(
                RequestCounts.head().indexOf("helm"),
                counts.line(1, 1, 3, "controlplane-1").indexOf("controlplane-1"));
        assertFalse(ResponseSeal.holds("no seal", "a", "GET", "/", NONE, NONE));
        assertFalse(ResponseSeal.holds(null, "a", "GET", "/", NONE, NONE));
    }
}
