package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.Address;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The same classes on real sockets of this machine. */
class RealSocketsTest {
    private static final String CONFIGURATION =
            "{'revision':1,'routes':[{'name':'r','host':'h.example','path-prefix':'/r/','route-type':'idempotent',"
                    + "'timeout-ms':4000,'target-ms':400,'priority':1,'service':'s','retry-count':2}],'services':[{'name':'s','health-path':null,"
                    + "'max-connections':8,'protocol':'h1','tls-mode':false,'memory-mb':128,'boot-ms':500,'max-concurrency':4}],'limits':"
                    + "{'max-header-bytes':2048,'max-body-bytes':10000,'header-timeout-ms':3000,'idle-timeout-ms':15000}}";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Machine machine = Machine.real(group.next());
    private final CompletableFuture<AttemptOutcome> outcome = new CompletableFuture<>();
    private HttpServer host;
    private String receivedRequest = "";

    @BeforeEach
    void open() throws IOException {
        host = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);
        host.createContext("/", exchange -> {
            receivedRequest = exchange.getRequestMethod() + " " + exchange.getRequestURI() + " "
                    + exchange.getRequestHeaders().getFirst("Brambletray-Target-Instance") + " "
                    + new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.US_ASCII);
            exchange.getResponseHeaders()
                    .set("Brambletray-Attempt-Id", exchange.getRequestHeaders().getFirst("Brambletray-Attempt-Id"));
            exchange.getResponseHeaders().set("Brambletray-Response-Seal", "s");
            exchange.sendResponseHeaders(200, 5);
            exchange.getResponseBody().write("hello".getBytes(StandardCharsets.US_ASCII));
            exchange.close();
        });
        host.start();
    }

    @AfterEach
    void close() {
        host.stop(0);
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static String exchange(InetSocketAddress to, String request) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> task) throws Exception {
        return machine.loop().submit(task).get(5, TimeUnit.SECONDS);
    }

    @Test
    void aRequestThroughTheWholeProxy() throws Exception {
        Configuration configuration =
                Configuration.read(CONFIGURATION.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
        SlotBroker broker = new SlotBroker() {
            @Override
            public void requestSlot(SlotRequest ask, SlotRequester taker) {
                machine.loop()
                        .execute(() -> taker.onGranted(new SlotGrant(
                                ask.id(),
                                "i-1",
                                "127.0.0.1:" + host.getAddress().getPort(),
                                false)));
            }

            @Override
            public void releaseSlot(SlotGrant grant, AttemptOutcome with, int tookMs) {
                outcome.complete(with);
            }

            @Override
            public void cancelRequest(long askId) {
                outcome.completeExceptionally(new AssertionError("forgotten"));
            }
        };
        InetSocketAddress at = onLoop(() -> {
                                    RequestCounters counters = new RequestCounters();
                                    RequestRouter flow = new RequestRouter(
                                            machine,
                                            "e",
                                            "z",
                                            () -> configuration,
                                            broker,
                                            QuotaGate.UNLIMITED,
                                            OperationGate.UNCLAIMED,
                                            ip -> false,
                                            new HostConnectionPools(machine, 4_000, counters),
                                            counters,
                                            48 << 20,
                                            1);
                                    return new FrontEndServer(machine, flow, 100).listen(new Address("127.0.0.1", 0));
                                })
                                .sync()
                                .channel()
                                .localAddress()
                        instanceof InetSocketAddress bound
                ? bound
                : null;
        String answer = exchange(
                at,
                "POST /r/x?q=1 HTTP/1.1\r\nHost: h.example\r\nBrambletray-Attempt-Id: r1\r\nConnection: close\r\n"
                        + "Content-Length: 3\r\n\r\nabc");
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n") && answer.endsWith("\r\n\r\nhello"), answer);
        assertTrue(
                answer.contains("\r\nBrambletray-Response-Seal: s\r\n")
                        || answer.toLowerCase().contains("brambletray-response-seal: s"),
                answer);
        assertEquals("POST /r/x?q=1 i-1 abc", receivedRequest);
        assertEquals(AttemptOutcome.SERVED, outcome.get(5, TimeUnit.SECONDS));
    }

    @Test
    void readiness() throws Exception {
        AtomicBoolean ready = new AtomicBoolean();
        InetSocketAddress at =
                (InetSocketAddress) onLoop(() -> new Readiness(machine, ready::get).listen(new Address("127.0.0.1", 0)))
                        .sync()
                        .channel()
                        .localAddress();
        String probe = "GET /brambletray/readiness HTTP/1.1\r\nHost: x\r\n";
        assertTrue(exchange(at, probe + "Connection: close\r\n\r\n").startsWith("HTTP/1.1 503 "));
        ready.set(true);
        String answers = exchange(at, probe + "\r\n" + probe + "Connection: close\r\n\r\n");
        assertEquals(
                2,
                Arrays.stream(answers.split("\r\n"))
                        .filter("HTTP/1.1 200 OK"::equals)
                        .count(),
                answers);
        assertTrue(exchange(at, "GET /else HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 404 "));
    }
}
