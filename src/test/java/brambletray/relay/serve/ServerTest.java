package brambletray.relay.serve;

import static brambletray.relay.stub.PlatformStub.host;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that are not to be trusted. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ServerTest {
    private static final byte[] NONE = {};
    private static final String GOOD = "POST /bill HTTP/1.1\r\nHost: a\r\n"
            + String.join("\r\n", PlatformStub.Client.headers("x", "bill", 7, 16_000)) + "\r\n";
    /** More than any time-out of the relay for clients, less than a minute. */
    private static final long SOON_S = 20;

    @TempDir
    Path folder;

    private PlatformStub platform;
    private HostStub host;

    @BeforeEach
    void begin() throws IOException {
        platform = new PlatformStub(folder);
        host = new HostStub();
    }

    @AfterEach
    void end() throws IOException {
        host.close();
        platform.close();
    }

    private RelayProcess relay() throws Exception {
        return platform.relay(host("s-1", host.port(), 7, "ready"));
    }

    /** Guards the rule on duplicates: what is hidden in such a body is no request, and nothing of it goes on. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4\r\nTransfer-Encoding: chunked",
                "Transfer-Encoding: gzip, chunked",
                "Transfer-Encoding: xchunked\r\nContent-Length: 5",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
                "Content-Length: 5\r\nContent-Length: 6",
                "Content-Length: -1",
                "Content-Length: 99999999999999999999"
            })
    void aRequestWhoseLengthIsInDoubtIsTurnedAwayAndNothingBehindItServed(String length) throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            String hidden = GOOD + "Content-Length: 0\r\n\r\n";
            List<String> answer = client.raw(GOOD + length + "\r\n\r\n", ("0\r\n\r\n" + hidden).getBytes());
            assertTrue(answer.get(0).startsWith("HTTP/1.1 4"), answer.get(0));
            assertTrue(client.closed());
            assertTrue(relay.idle());
            assertTrue(host.quiet());
        }
    }

    /** Guards against a stranger who takes back what another client handed in, by its id and a broken connection. */
    @Test
    void onlyTheRequestThatTookAMessageOnCanWithdrawIt() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(
                    "HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
            HostStub.Call call = host.call();
            for (int i = 0; i < 50; i++) {
                var stranger = new PlatformStub.Client(relay);
                stranger.leaveAfter(
                        "POST /bill HTTP/1.1\r\nHost: a\r\n"
                                + String.join("\r\n", PlatformStub.Client.headers("a", "bill", 7, 16_000)) + "\r\n",
                        "bill \u00e4\0 of a");
            }
            // All of them have been read by the time that this is answered.
            assertEquals(
                    "HTTP/1.1 409 Conflict",
                    new PlatformStub.Client(relay)
                            .post("/bill", PlatformStub.Client.headers("a", "bill", 7, 16_000), "another")
                            .get(0));
            assertFalse(relay.idle(), "still held");
            call.answer("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
            assertEquals("a", host.call().header("X-Request-ID"));
        }
    }

    /** Guards descriptors and buffers: what begins must end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "POST",
                "POST /bill HTTP/1.1\r\nHost: a\r\n",
                "POST /bill HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"
            })
    void aConnectionWithoutAWholeRequestIsEndedAlsoIfMoreOfItTricklesIn(String start) throws Exception {
        try (RelayProcess relay = relay();
                Socket socket =
                        new Socket(PlatformStub.LOOPBACK, relay.address().getPort())) {
            socket.getOutputStream().write(start.getBytes());
            socket.setSoTimeout(200);
            long by = System.nanoTime() + TimeUnit.SECONDS.toNanos(SOON_S);
            boolean over = false;
            while (!over && System.nanoTime() < by) {
                try {
                    over = socket.getInputStream().read() < 0;
                } catch (java.net.SocketTimeoutException e) {
                    if (!start.isEmpty()) {
                        socket.getOutputStream().write('x');
                    }
                } catch (SocketException e) {
                    over = true;
                }
            }
            assertTrue(over);
        }
    }

    /** Guards the answer: a body too large is neither read to its end nor does its rest reset the answer away. */
    @Test
    void aHugeBodyIsAnsweredAtOnceAndTheConnectionEnded() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            List<String> answer = client.raw(GOOD + "Content-Length: 60000000\r\n\r\n", new byte[100_000]);
            assertTrue(answer.get(0).startsWith("HTTP/1.1 413"), answer.get(0));
            assertTrue(client.closed());
        }
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            byte[] chunk = ("10000\r\n" + "x".repeat(65_536) + "\r\n").getBytes();
            assertTrue(client.raw(
                            GOOD + "Transfer-Encoding: chunked\r\n\r\n",
                            (new String(chunk) + new String(chunk)).getBytes())
                    .get(0)
                    .startsWith("HTTP/1.1 413"));
            assertTrue(client.closed());
        }
    }

    /** Clients send one request at a time: of a heap of them none is taken on, and memory does not grow with it. */
    @Test
    void manyRequestsAtOnceAreTurnedAway() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            String one = GOOD + "Content-Length: 0\r\n\r\n";
            assertTrue(client.raw(one.repeat(300), NONE).get(0).startsWith("HTTP/1.1 400"));
            assertTrue(client.closed());
            assertTrue(relay.idle());
        }
    }

    /** Guards clients that ask against a crowd that only connects: the crowd makes room, not they. */
    @Test
    void aSilentCrowdDoesNotShutClientsOut() throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(
                    "HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 16_000).get(0));
            for (int i = 0; i < 700; i++) {
                crowd.add(new Socket(PlatformStub.LOOPBACK, relay.address().getPort()));
            }
            try (var late = new PlatformStub.Client(relay)) {
                assertEquals(
                        "HTTP/1.1 202 Accepted",
                        late.post("b", "bill", 7, 16_000).get(0));
            }
            assertEquals(
                    "HTTP/1.1 202 Accepted", client.post("c", "bill", 7, 16_000).get(0));
            InputStream first = crowd.get(0).getInputStream();
            assertEquals(-1, first.read());
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    /** A request may be read as late as its client waits for an answer (400 ms); its notice must still be in time. */
    @Test
    void theNoticeComesBeforeTheTimeIsUp() throws Exception {
        try (RelayProcess relay = platform.relay(host("s-1", host.port(), 7, "draining"));
                var client = new PlatformStub.Client(relay)) {
            long sent = System.nanoTime();
            assertEquals(
                    "HTTP/1.1 202 Accepted", client.post("a", "bill", 7, 3_000).get(0));
            assertNotNull(platform.notice());
            assertTrue(System.nanoTime() - sent < TimeUnit.MILLISECONDS.toNanos(3_000));
        }
    }

    /** Guards the module's slots (8 here): each client that resets as it is answered would hold one for good. */
    @Test
    void clientsThatResetDoNotUseUpTheSlots() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            for (int i = 0; i < 40; i++) {
                new PlatformStub.Client(relay)
                        .leaveAfter(
                                "POST /bill HTTP/1.1\r\nHost: a\r\n"
                                        + String.join("\r\n", PlatformStub.Client.headers("g" + i, "bill", 7, 400))
                                        + "\r\n",
                                "x");
            }
            // While some of the crowd are still being read, the cap of four may be theirs.
            int tries = 0;
            while (!client.post("a" + tries, "bill", 7, 16_000).get(0).equals("HTTP/1.1 202 Accepted")) {
                assertTrue(++tries < 10_000, "refused for good");
            }
            HostStub.Call call;
            do {
                call = host.call();
                assertNotNull(call);
            } while (!("a" + tries).equals(call.header("X-Request-ID")));
        }
    }
}
