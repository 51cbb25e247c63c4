package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How requests and responses are forwarded between client and host connections, at the level of bytes. */
class ForwardingTest {
    private static final String HEAD = "GET /r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n";
    private final SimulatedProxy proxy = new SimulatedProxy();
    private ScriptedClient client;
    private ScriptedHost host;

    @BeforeEach
    void open() {
        proxy.route("idempotent", 2);
        client = (ScriptedClient) proxy.actor("client");
        host = (ScriptedHost) proxy.actor("a");
    }

    private List<String> send(String bytes) {
        proxy.broker.act(new String[] {"grants", "a"});
        client.send(bytes);
        proxy.settle();
        return client.look();
    }

    /** Rule UNASKED: a request that two parsers could read differently (request smuggling) is rejected. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                "Content-Length: 3, 4\r\n\r\nabcd",
                "Content-Length: -3\r\n\r\n",
                "Content-Length: +3\r\n\r\nabc",
                "Content-Length: 3x\r\n\r\nabc",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                "Host: other.example\r\n\r\n",
                "X-Folded: a\r\n b\r\n\r\n",
                "X-Folded: a\r\n\tTransfer-Encoding: chunked\r\n\r\n",
                "X y: a\r\n\r\n",
                ": a\r\n\r\n",
                "X-Bare: a\rContent-Length: 3\r\n\r\nabc",
                "X-Null: a\u0000b\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                "Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n",
            })
    void ambiguousRequestsAreRejected(String rest) {
        assertEquals(List.of("400 close", "closed"), sendAndAwaitClose(HEAD + rest));
        assertEquals(List.of(), host.look());
    }

    /** Sends the bytes and returns what the client observes, including the close that follows the last response. */
    private List<String> sendAndAwaitClose(String bytes) {
        List<String> seen = new java.util.ArrayList<>(send(bytes));
        proxy.until(proxy.simulation.now() / 1_000_000 + 2_000);
        seen.addAll(client.look());
        return seen;
    }

    @Test
    void aFoldedHeaderIsRejectedAcrossSegments() {
        client.send("GET /r/x HTTP/1.1\r\nHost: h.example\r\nX-Folded: a\r\n");
        proxy.settle();
        assertEquals(List.of(), client.look());
        client.send(" b\r\n\r\n");
        proxy.settle();
        assertEquals("400 close", client.look().get(0));
    }

    /** A head that is read while the previous request is in progress is checked as strictly, and answered in order. */
    @Test
    void aFoldedHeaderIsRejectedInAPipelinedRequest() {
        assertEquals(List.of(), send(HEAD + "\r\n" + HEAD.replace("r1", "r2") + "X-Folded: a\r\n b\r\n\r\n"));
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1", "400 close", "closed"), client.look());
        assertEquals(List.of("reads r1"), host.look());
    }

    /**
     * Rule REFUSED: a host's 503 without proof that the request did not run must not be streamed to the client if there
     * is no memory to buffer it.
     */
    @Test
    void anUnprovenRefusalIsNotStreamed() {
        proxy.route("non_idempotent", 2);
        send(HEAD + "\r\n");
        assertTrue(proxy.router.memoryBudget().tryReserve(48 << 20));
        host.act("hides r1".split(" "));
        proxy.settle();
        assertEquals(List.of("502"), client.look());
        proxy.router.memoryBudget().release(48 << 20);
        proxy.broker.look();
        proxy.assertNothingLeft();
    }

    @Test
    void aFailureTooLargeToBufferBecomesA502() {
        proxy.route("non_idempotent", 2);
        send(HEAD + "\r\n");
        host.act("fails-at-length r1".split(" "));
        proxy.until(200);
        assertEquals(List.of("502"), client.look());
        proxy.assertNothingLeft();
    }

    /** Bytes that arrive on a connection before any byte of the request was sent cannot be its response. */
    @Test
    void bytesBeforeTheRequestAreNotAResponse() {
        client.act("posts r1".split(" "));
        proxy.settle();
        proxy.simulation.network().window(0);
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.settle();
        proxy.simulation.network().window(65_536);
        host.act(new String[] {"blurts"});
        proxy.settle();
        assertEquals(List.of("wants", "a UNREACHED 0", "wants but a"), proxy.broker.look());
    }

    /**
     * After a refusal the same host gets the request again on another connection only: a late second refusal on the
     * first connection would carry the same id.
     */
    @Test
    void aRequestIsNotSentTwiceOnOneConnection() {
        proxy.route("non_idempotent", 3);
        send(HEAD + "\r\n");
        host.act("declines r1".split(" "));
        proxy.settle();
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.settle();
        assertEquals(List.of("reads r1", "reads r1"), host.look());
        assertEquals(2, host.connectionCount);
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        send(HEAD.replace("r1", "r2") + "\r\n");
        assertEquals(2, host.connectionCount, "both connections are kept");
    }

    /**
     * A pooled connection turns out to be closed before a byte of the request was sent: the request cannot have run and
     * is sent on another connection.
     */
    @Test
    void anUnsentRequestOnAStaleConnectionIsSentOnAnother() {
        proxy.route("non_idempotent", 1);
        send(HEAD + "\r\n");
        host.act("answers r1".split(" "));
        proxy.settle();
        client.look();
        host.look();
        client.act("posts r2".split(" "));
        proxy.settle();
        proxy.simulation.network().window(0);
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.settle();
        assertEquals(List.of(), host.look());
        host.act("resets r1".split(" "));
        proxy.simulation.network().window(65_536);
        proxy.settle();
        assertEquals(List.of("reads r2"), host.look());
        assertEquals(1, proxy.counters.staleConnections);
    }

    /**
     * A machine is suspended past a request's deadline: on resume the connection is established before the deadline
     * timer fires.
     */
    @Test
    void anExpiredRequestIsNotSentAfterAPause() {
        proxy.route("non_idempotent", 2);
        proxy.simulation.network().usual(new brambletray.common.simulation.SimNetwork.Way(10_000_000, 0));
        client.act("posts r1 500".split(" "));
        proxy.until(25);
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.until(40);
        proxy.freeze(1_000);
        proxy.until(2_000);
        assertEquals(List.of("503 in 0.200"), client.look());
        assertEquals(List.of(), host.look());
        assertEquals(List.of("wants", "unused a"), proxy.broker.look());
    }

    @Test
    void aRequestSentByteByByteIsForwarded() {
        proxy.simulation.network().segment(1);
        send(
                "POST /r/x?a=b%20c HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "3\r\nabc\r\n1\r\nd\r\n0\r\nX-Trailer: t\r\n\r\n");
        host.act("chunks r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        assertTrue(host.lastRequest.startsWith("POST /r/x?a=b%20c HTTP/1.1\r\n"), host.lastRequest);
        assertTrue(host.lastRequest.endsWith("\r\nContent-Length: 4\r\n\r\nabcd"), host.lastRequest);
    }

    @Test
    void hopByHopHeadersAreNotForwarded() {
        send(
                "GET /r/x HTTP/1.1\r\nHost: h.example:80\r\nBrambletray-Attempt-Id: r1\r\nBrambletray-Deadline-Remaining: 900\r\n"
                        + "Brambletray-Target-Instance: forged\r\nConnection: keep-alive, X-Hop, Host, Brambletray-Attempt-Id\r\nX-Hop: 1\r\nKeep-Alive: 5\r\n"
                        + "TE: trailers\r\nUpgrade: h2c\r\nProxy-Authorization: x\r\nX-Kept: \u00e9 1\r\nx-kept: 2\r\nAccept: */*\r\n\r\n");
        assertEquals(
                "GET /r/x HTTP/1.1\r\nHost: h.example:80\r\nBrambletray-Attempt-Id: r1\r\nX-Kept: \u00e9 1\r\nx-kept: 2\r\nAccept: */*\r\n"
                        + "Brambletray-Target-Instance: a\r\nBrambletray-Deadline-Remaining: 890\r\n\r\n",
                host.lastRequest);
    }

    @Test
    void theHostReceivesTheRemainingTime() {
        client.act("asks r1 9000".split(" "));
        proxy.until(500);
        proxy.broker.act(new String[] {"grants", "a"});
        proxy.settle();
        assertEquals(
                "3490",
                ScriptedHost.header(host.lastRequest, "brambletray-deadline-remaining"),
                "remaining time of the route's timeout, which is shorter than the client's");
    }

    @Test
    void oversizedRequestsAreRejected() {
        assertEquals(
                "431 close", send(HEAD + "X: " + "y".repeat(3_000) + "\r\n\r\n").get(0));
        client = (ScriptedClient) proxy.actor("client2");
        assertEquals(
                "431 close",
                send("GET /r/" + "y".repeat(3_000) + " HTTP/1.1\r\n").get(0));
        client = (ScriptedClient) proxy.actor("client3");
        assertEquals("413 close", send(HEAD + "Content-Length: 10001\r\n\r\n").get(0));
        client = (ScriptedClient) proxy.actor("client4");
        assertEquals(
                "413 close",
                send(HEAD + "Transfer-Encoding: chunked\r\n\r\n2711\r\n" + "x".repeat(10_001))
                        .get(0));
        assertEquals(List.of(), host.look());
    }

    @Test
    void largeBodiesAreForwardedCompletely() {
        String body = "0123456789".repeat(1_000);
        send(HEAD.replace("GET", "PUT") + "Content-Length: 10000\r\n\r\n" + body);
        assertTrue(
                host.lastRequest.endsWith("\r\nContent-Length: 10000\r\n\r\n" + body),
                host.lastRequest.length() + " bytes");
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1"), client.look());
        proxy.assertNothingLeft();
    }

    @Test
    void requestsWithoutIdOrHostOrSupportedVersionAreRejected() {
        assertEquals(
                List.of("400"), send("GET /r/x HTTP/1.1\r\nHost: h.example\r\n\r\n"), "the connection stays usable");
        assertEquals(
                "400 close",
                send("GET /r/x HTTP/1.1\r\nBrambletray-Attempt-Id: r1\r\n\r\n").get(0));
        client = (ScriptedClient) proxy.actor("client2");
        assertEquals(
                "505 close",
                send("GET /r/x HTTP/1.0\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n\r\n")
                        .get(0));
        client = (ScriptedClient) proxy.actor("client3");
        assertEquals(
                "400 close",
                send("GET http://h.example/r/x HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\n\r\n")
                        .get(0));
        assertEquals(List.of(), host.look());
    }

    @Test
    void connectionCloseOfTheClientIsRespected() {
        send(HEAD + "Connection: close\r\n\r\n");
        host.act("answers r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200 a:r1 close", "closed"), client.look());
        assertEquals(1, proxy.connectionPools.openCount(), "the connection to the host is kept");
    }

    @Test
    void aClientThatDoesNotCloseIsClosed() {
        send(HEAD + "Connection: close\r\n\r\n");
        client.act(new String[] {"sleeps"});
        host.act("answers r1".split(" "));
        proxy.until(900);
        assertEquals(1, proxy.frontEndServer.connectionCount(), "the client has time to read the response");
        proxy.until(1_300);
        assertEquals(0, proxy.frontEndServer.connectionCount());
    }

    @Test
    void responsesToHeadHaveNoBody() {
        send(HEAD.replace("GET", "HEAD") + "\r\n");
        host.act("heads r1".split(" "));
        proxy.settle();
        assertEquals(List.of("200"), client.look());
        assertEquals(0, proxy.connectionPools.openCount());
        proxy.assertNothingLeft();
    }

    @Test
    void requestsAreRefusedBeforeTheFirstConfiguration() {
        SimulatedProxy unconfigured = new SimulatedProxy();
        ScriptedClient unconfiguredClient = (ScriptedClient) unconfigured.actor("client");
        unconfiguredClient.act("asks r1".split(" "));
        unconfigured.settle();
        assertEquals(List.of("503 in 0.800"), unconfiguredClient.look());
    }

    @Test
    void memoryIsBounded() {
        assertTrue(proxy.router.memoryBudget().tryReserve(48 << 20));
        assertEquals(
                "503 in 0.200 close",
                send(HEAD + "Content-Length: 5\r\n\r\nhello").get(0));
        assertFalse(proxy.router.memoryBudget().tryReserve(1));
    }

    @Test
    void retryAfterIsFormattedInSeconds() {
        assertEquals("0.007", HeaderWriter.formatSeconds(7));
        assertEquals("12.050", HeaderWriter.formatSeconds(12_050));
    }

    @Test
    void keepAliveTimeoutsAreParsed() {
        assertEquals(5, KeepAlive.timeoutSeconds("timeout=5, max=100"));
        assertEquals(-1, KeepAlive.timeoutSeconds("max=100"));
        assertEquals(-1, KeepAlive.timeoutSeconds("timeout=x"));
        assertEquals(750, KeepAlive.usableMs(1));
        assertEquals(4_000, KeepAlive.usableMs(5));
        assertEquals(0, KeepAlive.usableMs(0));
    }
}
