package brambletray.relay.serve;

import static brambletray.relay.stub.PlatformStub.host;
import static brambletray.relay.stub.PlatformStub.list;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Operators' calls on a whole relay, over loopback. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ConsoleTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted";

    @TempDir
    Path folder;

    private PlatformStub platform;
    private HostStub one;
    private HostStub other;

    @BeforeEach
    void begin() throws IOException {
        platform = new PlatformStub(folder);
        platform.more = "\"console\":\"127.0.0.1:0\",";
        one = new HostStub();
        other = new HostStub();
    }

    @AfterEach
    void end() throws IOException {
        one.close();
        other.close();
        platform.close();
    }

    private RelayProcess relay() throws Exception {
        return platform.relay(host("s-1", one.port(), 7, "ready"), host("s-2", other.port(), 7, "ready"));
    }

    private static Socket connect(RelayProcess relay) throws IOException {
        Socket socket = new Socket(PlatformStub.LOOPBACK, relay.consoleAddress().getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PlatformStub.PATIENCE_S));
        return socket;
    }

    /** The whole answer to a call: what comes until the relay closes. */
    static String call(RelayProcess relay, String line) throws IOException {
        try (Socket socket = connect(relay)) {
            socket.getOutputStream()
                    .write((line + " HTTP/1.1\r\nHost: operators\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void assertSays(int status, String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
    }

    private static Map<String, Long> figures(RelayProcess relay) throws IOException {
        Map<String, Long> figures = new HashMap<>();
        call(relay, "GET /status/metrics")
                .lines()
                .filter(l -> l.startsWith("svc."))
                .forEach(l -> figures.put(
                        l.substring(4, l.indexOf(':')),
                        Long.parseLong(l.substring(l.indexOf(':') + 1, l.indexOf('|')))));
        return figures;
    }

    private static void awaitIdle(RelayProcess relay) throws Exception {
        while (!relay.idle()) {
            Thread.onSpinWait();
        }
    }

    /** Guards the sum: whatever becomes of a message, it is counted once, and what was never taken on too. */
    @Test
    void figuresAddUpOverEachWayInWhichAMessageEnds() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("delivered", "bill", 7, 16_000).get(0));
            HostStub.Call call = nextCall();
            assertEquals(1, figures(relay).get("in_flight"));
            assertEquals(1, figures(relay).get("attempts"));
            call.answer(HostStub.OK);
            awaitIdle(relay);
            assertEquals(TAKEN, client.post("unsafe", "pay", 7, 16_000).get(0));
            nextCall().reset();
            assertTrue(platform.notice().contains("given_up"));
            assertEquals(TAKEN, client.post("over", "bill", 7, 16_000).get(0));
            nextCall().answer("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n");
            awaitIdle(relay);
            for (int i = 1; i < platform.openCap; i++) {
                assertEquals(TAKEN, client.post("held" + i, "bill", 7, 16_000).get(0));
            }
            assertTrue(client.post("too many", "bill", 7, 16_000).get(0).startsWith("HTTP/1.1 503"));
            Map<String, Long> told = figures(relay);
            assertEquals(1, told.get("served.bill"));
            assertEquals(1, told.get("failed.pay"));
            assertEquals(1, told.get("failed.bill"));
            assertEquals(1, told.get("refused.bill"));
            assertEquals(platform.openCap - 1, told.get("in_flight"));
            assertEquals(2, told.get("hosts_known"));
            assertEquals(0, told.get("served.pay"));
        }
    }

    private HostStub.Call nextCall() throws InterruptedException {
        while (true) {
            if (!one.quiet()) {
                return one.call();
            }
            if (!other.quiet()) {
                return other.call();
            }
            Thread.onSpinWait();
        }
    }

    /** Guards the rule on drains: a host taken out gets nothing new, over a list that names it, and a restart. */
    @Test
    void aHostTakenOutStaysOutUntilItIsPutBack() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertSays(404, call(relay, "POST /maintenance/enter/s-9"));
            assertSays(200, call(relay, "POST /maintenance/enter/s-1"));
            assertSays(200, call(relay, "POST /maintenance/enter/s-1"));
            assertEquals(1, figures(relay).get("hosts_excluded"));
            platform.changes.add(list(2, false, host("s-1", one.port(), 7, "gone")));
            platform.watch();
            platform.changes.add(list(3, false, host("s-1", one.port(), 7, "ready")));
            platform.watch();
            for (int i = 0; i < 3; i++) {
                assertEquals(TAKEN, client.post("a" + i, "bill", 7, 16_000).get(0));
                other.call().answer(HostStub.OK);
            }
            awaitIdle(relay);
            assertTrue(one.quiet());
        }
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(1, figures(relay).get("hosts_excluded"));
            for (int i = 0; i < 3; i++) {
                assertEquals(TAKEN, client.post("b" + i, "bill", 7, 16_000).get(0));
                other.call().answer(HostStub.OK);
            }
            awaitIdle(relay);
            assertTrue(one.quiet());
            assertSays(200, call(relay, "POST /maintenance/exit/s-1"));
            assertSays(200, call(relay, "POST /maintenance/enter/s-2"));
            assertEquals(TAKEN, client.post("c", "bill", 7, 16_000).get(0));
            one.call().answer(HostStub.OK);
            awaitIdle(relay);
            assertTrue(other.quiet());
        }
    }

    @Test
    void aDrainedRelaySendsItsClientsAwayAndComesBack() throws Exception {
        try (RelayProcess relay = relay()) {
            try (var idle = new PlatformStub.Client(relay);
                    var client = new PlatformStub.Client(relay)) {
                assertEquals(
                        "HTTP/1.1 200 OK",
                        idle.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
                assertSays(200, call(relay, "POST /standby"));
                List<String> answer = client.post("a", "bill", 7, 16_000);
                assertEquals(TAKEN, answer.get(0));
                assertTrue(answer.stream().anyMatch(l -> l.equalsIgnoreCase("connection: close")), answer.toString());
                assertTrue(client.closed());
                nextCall().answer(HostStub.OK);
                assertTrue(idle.closed(), "held idle");
            }
            try (var client = new PlatformStub.Client(relay)) {
                assertEquals(
                        "HTTP/1.1 503 Service Unavailable",
                        client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
            }
            assertSays(200, call(relay, "GET /status"));
            assertSays(200, call(relay, "POST /active"));
            try (var client = new PlatformStub.Client(relay)) {
                assertEquals(
                        "HTTP/1.1 200 OK",
                        client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
                assertEquals(TAKEN, client.post("b", "bill", 7, 16_000).get(0));
                nextCall().answer(HostStub.OK);
            }
            awaitIdle(relay);
        }
    }

    /** Guards those that ask against a hundred that connect and say nothing, or half a call. */
    @Test
    void silentCallersKeepNobodyOut() throws Exception {
        List<Socket> silent = new ArrayList<>();
        try (RelayProcess relay = relay()) {
            for (int i = 0; i < 100; i++) {
                Socket socket = connect(relay);
                silent.add(socket);
                if (i % 2 == 0) {
                    socket.getOutputStream().write("GET /sta".getBytes(StandardCharsets.US_ASCII));
                }
            }
            assertSays(200, call(relay, "GET /status"));
            for (Socket socket : silent) {
                // Answered 408, or dropped to make room.
                try {
                    socket.getInputStream().readAllBytes();
                } catch (IOException reset) {
                    // Dropped as it wrote.
                }
            }
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }

    @Test
    void whatIsNoCallIsToldSoAndTouchesNothing() throws Exception {
        try (RelayProcess relay = relay()) {
            assertSays(405, call(relay, "GET /standby"));
            assertSays(404, call(relay, "GET /bill"));
            assertSays(400, call(relay, "POST /maintenance/enter/" + "x".repeat(10_000)));
            assertSays(400, call(relay, "nonsense"));
            assertSays(413, call(relay, "POST /standby HTTP/1.1\r\nContent-Length: 60000000\r\nX:"));
            // Two calls on one connection: the second is not one.
            String answer = call(relay, "GET /status HTTP/1.1\r\nHost: a\r\n\r\nPOST /standby");
            assertSays(200, answer);
            assertEquals(answer.lastIndexOf("HTTP/1.1"), 0);
            assertSays(200, call(relay, "GET /status"));
            assertEquals(0, figures(relay).get("hosts_excluded"));
            try (var client = new PlatformStub.Client(relay)) {
                assertEquals(
                        "HTTP/1.1 200 OK",
                        client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
            }
        }
    }

    @Test
    void aConsoleThatCannotBeUsedEndsTheStartWithOneLine() throws Exception {
        platform.more = "\"console\":\"nowhere\",";
        var fault = assertThrows(Config.Unusable.class, this::relay);
        assertTrue(fault.getMessage().contains("console"), fault.getMessage());
        assertFalse(fault.getMessage().contains("\n"));
    }
}
