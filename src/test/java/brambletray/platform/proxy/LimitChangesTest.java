package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.platform.configuration.ClientLimits;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against CONFIG and DENIED: each limit is raised and lowered while a connection is idle, half of a request has
 * been read, or an earlier request is in progress (review/8). New requests are held to the new limits; a request that
 * has begun, to the larger ones.
 */
class LimitChangesTest {
    private static final ClientLimits SMALL = new ClientLimits(400, 100, 1_000, 2_000);
    private static final ClientLimits LARGE = new ClientLimits(4_000, 1_000, 3_000, 15_000);
    /** ms between two checks of time-outs, at most. */
    private static final int SWEEP_MS = 250;

    /** Beginnings of requests on the route, up to their further headers. */
    private static final String GET = head("GET");

    private static final String POST = head("POST");

    private static String head(String method) {
        return method + " /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r2\r\n";
    }

    /** What the connection does when the limits change. */
    private enum Moment {
        IDLE,
        BUSY
    }

    /** What exceeds the smaller limits. */
    private enum Part {
        REQUEST_LINE(
                "GET /r/" + "p".repeat(500) + " HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r2\r\n\r\n",
                "431"),
        HEADERS(GET + "X: " + "x".repeat(500) + "\r\n\r\n", "431"),
        BODY(POST + "Content-Length: 500\r\n\r\n" + "b".repeat(500), "413"),
        CHUNKED_BODY(
                POST + "Transfer-Encoding: chunked\r\n\r\n" + "32\r\n" + "b".repeat(50) + "\r\n1c2\r\n"
                        + "b".repeat(450) + "\r\n0\r\n\r\n",
                "413");

        final String request;
        final String rejection;

        Part(String request, String rejection) {
            this.request = request;
            this.rejection = rejection;
        }

        /** Length of the head, or as much of it as the smaller limits allow. */
        int headLength() {
            return Math.min(SMALL.maxHeaderBytes(), request.indexOf("\r\n\r\n") + 3);
        }
    }

    private SimulatedProxy proxy;
    private ScriptedClient client;
    private ScriptedHost host;

    private void open() {
        proxy = new SimulatedProxy();
        proxy.route("r", "idempotent", 1, SMALL);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    private void limits(ClientLimits limits) {
        proxy.route("r", "idempotent", 1, limits);
    }

    private void send(String bytes) {
        client.send(bytes);
        proxy.settle();
    }

    private void answer(String id) {
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.settle();
        host.act(new String[] {"answers", id});
        proxy.settle();
    }

    /** Opens the connection by a request; it is in progress, or was served, when this returns. */
    private void openAt(Moment moment) {
        client.act(new String[] {"asks", "r1"});
        proxy.settle();
        if (moment == Moment.IDLE) {
            endFirst(moment);
        }
    }

    private void endFirst(Moment moment) {
        answer("r1");
        assertEquals(List.of("200 a:r1"), client.look(), moment.toString());
    }

    private void endFirstIfBusy(Moment moment) {
        if (moment == Moment.BUSY) {
            endFirst(moment);
        }
    }

    private void assertServed(String request) {
        answer("r2");
        assertEquals(List.of("200 a:r2"), client.look(), request);
    }

    @Test
    void raisedSizesApplyToAllRequests() {
        for (Part part : Part.values()) {
            for (Moment moment : Moment.values()) {
                open();
                for (int begun = 0; begun < part.headLength(); begun += 40) {
                    limits(SMALL);
                    openAt(moment);
                    if (begun > 0) {
                        send(part.request.substring(0, begun));
                    }
                    limits(LARGE);
                    send(part.request.substring(begun));
                    endFirstIfBusy(moment);
                    assertServed(part + " " + moment + ' ' + begun);
                }
            }
            assertEquals(1, host.connectionCount);
        }
    }

    @Test
    void loweredSizesApplyToNewRequests() {
        for (Part part : Part.values()) {
            for (Moment moment : Moment.values()) {
                open();
                limits(LARGE);
                openAt(moment);
                limits(SMALL);
                send(part.request);
                if (moment == Moment.BUSY) {
                    answer("r1");
                }
                pass(1_500);
                List<String> seen = new ArrayList<>(client.look());
                assertEquals(moment == Moment.BUSY, seen.remove("200 a:r1"));
                assertEquals(List.of(part.rejection + " close", "closed"), seen, part + " " + moment);
            }
        }
    }

    @Test
    void loweredSizesDoNotEndRequestsThatHaveBegun() {
        for (Part part : Part.values()) {
            for (Moment moment : Moment.values()) {
                open();
                for (int begun = 1; begun <= part.request.length(); begun += 60) {
                    limits(LARGE);
                    openAt(moment);
                    send(part.request.substring(0, begun));
                    limits(SMALL);
                    send(part.request.substring(begun));
                    endFirstIfBusy(moment);
                    assertServed(part + " " + moment + ' ' + begun);
                }
            }
        }
    }

    private static final String BEGINNING = "GET /r/x HTTP/1.1\r\nHost: h.example\r\n";
    private static final String REST = "Brambletray-Attempt-Id: r2\r\n\r\n";

    private long now() {
        return proxy.simulation.now() / 1_000_000;
    }

    private void pass(long ms) {
        proxy.until(now() + ms);
    }

    @Test
    void raisedHeaderTimeoutAppliesToAllHeads() {
        for (Moment moment : Moment.values()) {
            open();
            for (boolean begins : new boolean[] {false, true}) {
                limits(SMALL);
                openAt(moment);
                if (begins) {
                    send(BEGINNING);
                }
                pass(500);
                limits(LARGE);
                send(begins ? "" : BEGINNING);
                endFirstIfBusy(moment);
                pass(2_000);
                send(REST);
                assertServed(moment + " " + begins);
            }
        }
    }

    @Test
    void loweredHeaderTimeoutAppliesToNewHeads() {
        for (Moment moment : Moment.values()) {
            open();
            limits(LARGE);
            openAt(moment);
            limits(SMALL);
            send(BEGINNING);
            endFirstIfBusy(moment);
            pass(900);
            assertEquals(List.of(), client.look());
            pass(100 + SWEEP_MS);
            assertEquals(List.of("408 close", "closed"), client.look());
        }
    }

    @Test
    void loweredHeaderTimeoutDoesNotEndHeadsThatHaveBegun() {
        for (Moment moment : Moment.values()) {
            open();
            limits(LARGE);
            openAt(moment);
            send(BEGINNING);
            limits(SMALL);
            endFirstIfBusy(moment);
            pass(2_500);
            send(REST);
            assertServed(moment.toString());
        }
    }

    @Test
    void raisedIdleTimeoutAppliesToOpenConnections() {
        for (Moment moment : Moment.values()) {
            open();
            limits(SMALL);
            openAt(moment);
            limits(LARGE);
            endFirstIfBusy(moment);
            pass(10_000);
            send(BEGINNING + REST);
            assertServed(moment.toString());
        }
    }

    @Test
    void loweredIdleTimeoutAppliesFromTheNextRequestOn() {
        for (Moment moment : Moment.values()) {
            open();
            limits(LARGE);
            openAt(moment);
            limits(SMALL);
            endFirstIfBusy(moment);
            pass(10_000);
            send(BEGINNING + REST);
            assertServed(moment.toString());
            pass(1_900);
            assertEquals(List.of(), client.look());
            pass(100 + SWEEP_MS);
            assertEquals(List.of("closed"), client.look());
        }
    }

    /** A pause within a body is limited by the idle time-out; the route's time-out is 4 s. */
    @Test
    void raisedOrLoweredIdleTimeoutDoesNotEndBodiesThatHaveBegun() {
        for (Moment moment : Moment.values()) {
            open();
            for (boolean raised : new boolean[] {false, true}) {
                limits(raised ? SMALL : LARGE);
                openAt(moment);
                endFirstIfBusy(moment);
                send(POST + "Content-Length: 2\r\n\r\nb");
                pass(500);
                limits(raised ? LARGE : SMALL);
                pass(2_500);
                send("b");
                assertServed(moment + " " + raised);
            }
        }
    }
}
