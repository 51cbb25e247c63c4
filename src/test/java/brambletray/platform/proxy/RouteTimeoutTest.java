package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Whatever holds a request up, its client is answered at its route's timeout: 4 s here, where the client itself would
 * wait for 9 s.
 */
class RouteTimeoutTest {
    private static final long TIMEOUT_MS = 4_000;
    /** ms past the timeout at which an answer that is still coming is ended: less than a quarter of a second. */
    private static final long STREAM_MARGIN_MS = 200;

    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("non_idempotent", 1);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    private void actAt(Actor actor, long ms, String what) {
        proxy.until(ms);
        actor.act(what.split(" "));
        proxy.settle();
    }

    private List<String> seenUntil(long ms) {
        proxy.until(ms);
        return client.look();
    }

    private void postToHost() {
        actAt(proxy.broker, 0, "grants a");
        actAt(client, 0, "posts r1 9000");
    }

    @Test
    void noSlotIsEverGranted() {
        actAt(client, 0, "posts r1 9000");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("503 in 0.200"), seenUntil(TIMEOUT_MS));
        proxy.assertNothingLeft();
    }

    @Test
    void theHostNeverListens() {
        actAt(host, 0, "X");
        actAt(proxy.broker, 0, "grants a booting");
        actAt(client, 0, "posts r1 9000");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("503 in 0.200"), seenUntil(TIMEOUT_MS));
        proxy.assertNothingLeft();
    }

    @Test
    void theHostIsSilent() {
        postToHost();
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("504"), seenUntil(TIMEOUT_MS));
        proxy.assertNothingLeft();
    }

    @Test
    void theHostsResponseIsIncomplete() {
        postToHost();
        actAt(host, 3_000, "begins r1");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("504"), seenUntil(TIMEOUT_MS));
        proxy.assertNothingLeft();
    }

    @Test
    void aStreamedAnswerStops() {
        postToHost();
        actAt(host, 3_000, "pours r1");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS));
        assertEquals(List.of("cut"), seenUntil(TIMEOUT_MS + STREAM_MARGIN_MS));
        proxy.assertNothingLeft();
    }

    @Test
    void theClientDoesNotReadAStreamedAnswer() {
        proxy.simulation.network().window(10_000);
        postToHost();
        actAt(client, 0, "sleeps");
        actAt(host, 3_000, "pours r1");
        proxy.until(TIMEOUT_MS + STREAM_MARGIN_MS);
        assertEquals(0, proxy.frontEndServer.connectionCount());
        proxy.assertNothingLeft();
    }

    @Test
    void theClientsBodyStops() {
        client.send("POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n"
                + "Brambletray-Deadline-Remaining: 9000\r\nContent-Length: 5\r\n\r\nhe");
        assertEquals(List.of(), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("408 close", "closed"), seenUntil(TIMEOUT_MS + 1));
        proxy.assertNothingLeft();
    }

    @Test
    void theClientsPipelinedBodyStops() {
        actAt(proxy.broker, 0, "grants a");
        client.send("GET /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n\r\n"
                + "POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r2\r\nContent-Length: 5\r\n\r\nhe");
        actAt(host, 3_000, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(TIMEOUT_MS - 30));
        assertEquals(List.of("408 close", "closed"), seenUntil(TIMEOUT_MS + 1));
        proxy.assertNothingLeft();
    }

    @Test
    void aSlowBodyThatCompletesInTimeIsForwarded() {
        actAt(proxy.broker, 0, "grants a");
        client.send("POST /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n"
                + "Brambletray-Deadline-Remaining: 9000\r\nContent-Length: 5\r\n\r\nhe");
        proxy.until(3_900);
        client.send("llo");
        actAt(host, 3_950, "answers r1");
        assertEquals(List.of("200 a:r1"), seenUntil(TIMEOUT_MS + 1_000));
        proxy.assertNothingLeft();
    }

    @Test
    void theEdgeIsPausedPastTheTimeout() {
        actAt(client, 0, "posts r1 9000");
        proxy.until(TIMEOUT_MS - 100);
        proxy.freeze(700);
        assertEquals(List.of("503 in 0.200"), seenUntil(TIMEOUT_MS + 601));
        proxy.assertNothingLeft();
    }
}
