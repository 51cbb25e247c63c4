package brambletray.platform.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.platformstub.PlatformStubServer;
import brambletray.platform.platformstub.ServiceKind;
import brambletray.platform.settings.Address;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Rule TWICE while an API key is passed on from one tenant to another. The production programs in simulated time: three
 * members of the core, edges, and hosts that record what they run. Each test has one edge that stands still while the
 * change is acknowledged, so that it goes on with the former configuration.
 *
 * <pre>
 *   ms      operator              edge-1 (runs)          edge-2 (stands still)
 *      0                                                 stops
 *     20    key to "village"      applies it
 *    300                          first attempt: runs
 *    400                                                 second attempt waits
 *   1000                                                 goes on: former configuration, second attempt
 * </pre>
 */
class OperationTenantChangeTest {
    private static final int HOSTS = 8;
    private static final int CALL_TIMEOUT_MS = 5_000;
    private static final int STANDS_STILL_MS = 1_000;
    private static final String PASSED_KEY = "key-that-is-passed-on";
    private static final String VILLAGE_KEY = "key-of-village";
    private static final String SERVICES =
            "'services':[{'name':'ledger','health-path':null,'max-connections':72,'memory-mb':512,'boot-ms':200,"
                    + "'max-concurrency':4}]";

    /** What a client got: status 0 for no answer yet. */
    private static final class Answer {
        private int status;
        private String body = "";

        @Override
        public String toString() {
            return status + " " + body;
        }
    }

    private final RecordingHosts hosts = new RecordingHosts();
    private final List<String> failures = new ArrayList<>();
    private final SimulatedCluster cluster = new SimulatedCluster(
            new ScenarioScript(5, 3, 1, 60_000, List.of()), OperationTenantChangeTest::openPlatform);
    private Machine caller;
    private EdgeNode running;
    private EdgeNode frozen;
    private int attempts;

    private static void openPlatform(Machine machine) {
        long nowMs = machine.clock().nanos() / 1_000_000;
        PlatformStub stub = new PlatformStub(
                new PlatformParameters(100, 100, 100, 50, 4_000, 2_000, 1_000),
                1,
                nowMs,
                made -> "10.20.0." + (made + 1) + ":8080");
        stub.worker("worker-1", "z1", 16_384, nowMs);
        stub.service("ledger", new ServiceKind(512, 200, 0));
        new PlatformStubServer(machine, stub)
                .open(new InetSocketAddress(
                        SimulatedCluster.PLATFORM_ADDRESS.host(), SimulatedCluster.PLATFORM_ADDRESS.port()));
    }

    private static String tenant(String name, String... keys) {
        return "{'name':'" + name + "','api-keys':['" + String.join("','", keys) + "'],'priority':1}";
    }

    private static String route(String name, String flags) {
        return "{'name':'" + name + "','host':'h.example','path-prefix':'/" + name + "/','route-type':'keyed',"
                + "'timeout-ms':4000,'target-ms':500,'priority':2,'service':'ledger','retry-count':2" + flags + "}";
    }

    @BeforeEach
    void open() {
        cluster.whenFailed = failures::add;
        caller = cluster.machine(SimulatedCluster.ip(10, 9, 0, 1), "caller");
        for (int i = 1; i <= HOSTS; i++) {
            Machine host = cluster.machine(SimulatedCluster.ip(10, 20, 0, i), "host-" + i);
            hosts.listen(host, new InetSocketAddress(SimulatedCluster.ip(10, 20, 0, i), 8_080));
        }
        cluster.cores.forEach(CoreNode::start);
        cluster.edges.forEach(EdgeNode::start);
        running = cluster.edges.get(0);
        frozen = cluster.edges.get(1);
        until(() -> cluster.coordinator() != null, "a coordinator");
        change(
                "replace",
                0,
                "{'revision':1,'routes':[" + route("topup", "") + "," + route("open", ",'public':true") + "],"
                        + SERVICES + ",'tenants':[" + tenant("household", PASSED_KEY) + ","
                        + tenant("village", VILLAGE_KEY) + "]}");
        until(() -> cluster.edges.stream().allMatch(edge -> edge.ready() && revision(edge) == 1), "edges serve");
        for (EdgeNode edge : List.of(running, frozen)) {
            assertEquals(
                    "200 done by a" + (attempts + 1),
                    retried(edge, "warm-" + edge.name).toString());
        }
    }

    /** Repeats an attempt until it is served, as while the first host starts. */
    private Answer retried(EdgeNode edge, String operation) {
        Answer answer = new Answer();
        for (int i = 0; i < 20 && answer.status != 200; i++) {
            int number = attempts;
            answer = attempt(edge, "topup", PASSED_KEY, operation);
            pass(1_000);
            attempts = number;
        }
        attempts++;
        return answer;
    }

    @AfterEach
    void close() {
        cluster.cores.forEach(core -> core.kill(false));
        cluster.edges.forEach(EdgeNode::kill);
        assertEquals(List.of(), failures);
    }

    private void pass(long ms) {
        cluster.simulation.runUntil(cluster.simulation.now() + ms * 1_000_000);
    }

    private void until(java.util.function.BooleanSupplier holds, String what) {
        assertTrue(
                cluster.simulation.runUntil(cluster.simulation.now() + 20_000_000_000L, holds), what + " within 20 s");
    }

    private static long revision(EdgeNode edge) {
        return edge.configuration().revision();
    }

    /** Makes a change at the members in turn until it is acknowledged. */
    private void change(String kind, long base, String body) {
        boolean[] acknowledged = new boolean[1];
        change(kind, base, body, 0, acknowledged);
        until(() -> acknowledged[0], "the change is acknowledged");
    }

    private void change(String kind, long base, String body, int turn, boolean[] acknowledged) {
        HttpCall.make(
                caller,
                Address.parse(cluster.cores.get(turn % cluster.cores.size()).control()),
                "/brambletray/configuration/" + kind,
                base,
                body.replace('\'', '"').getBytes(StandardCharsets.UTF_8),
                (status, location, reply) -> {
                    if (status == 200) {
                        acknowledged[0] = true;
                    } else if (status == 400) {
                        failures.add(new String(reply, StandardCharsets.UTF_8));
                    } else {
                        cluster.after(50, () -> change(kind, base, body, turn + 1, acknowledged));
                    }
                });
    }

    private void passKeyOn() {
        change(
                "modify",
                1,
                "{'revision':2,'upsert':{'tenants':[" + tenant("household", "another-key") + ","
                        + tenant("village", VILLAGE_KEY, PASSED_KEY) + "]}}");
        until(() -> revision(running) == 2, "the running edge applies the change");
    }

    private void goesOnStale() {
        assertEquals(1, revision(frozen));
        frozen.freeze(false);
    }

    private Answer attempt(EdgeNode edge, String route, String credential, String operation) {
        String id = "a" + ++attempts;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + route + "/1", Unpooled.EMPTY_BUFFER);
        request.headers()
                .set("Host", "h.example")
                .set("Content-Length", 0)
                .set("Brambletray-Attempt-Id", id)
                .set("Brambletray-Credential", credential)
                .set("Brambletray-Operation-Key", operation);
        Answer answer = new Answer();
        caller.dialling(CALL_TIMEOUT_MS, new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(65_536),
                                        new AnswerReader(request, answer));
                    }
                })
                .connect(new InetSocketAddress(edge.address, SimulatedCluster.FRONT));
        return answer;
    }

    private static final class AnswerReader extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final DefaultFullHttpRequest request;
        private final Answer answer;

        AnswerReader(DefaultFullHttpRequest request, Answer answer) {
            this.request = request;
            this.answer = answer;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            answer.status = response.status().code();
            answer.body = response.content().toString(StandardCharsets.UTF_8).toLowerCase(Locale.ROOT);
            context.close();
        }
    }

    private void assertRanOnce(String operation, String tenant) {
        List<RecordingHosts.Run> runs = hosts.runs(operation);
        assertEquals(1, runs.size(), runs::toString);
        assertEquals(tenant, runs.get(0).tenant());
    }

    /** Guards against a second run at an edge that still takes the key for its former tenant's. */
    @Test
    void aRepeatAtAnEdgeWithTheFormerConfigurationDoesNotRunAgain() {
        frozen.freeze(true);
        passKeyOn();
        Answer first = attempt(running, "topup", PASSED_KEY, "op");
        pass(200);
        assertEquals("200 done by a3", first.toString());
        Answer repeat = attempt(frozen, "topup", PASSED_KEY, "op");
        pass(STANDS_STILL_MS);
        goesOnStale();
        pass(2_000);
        assertRanOnce("op", "village");
        assertEquals("200 done by a3", repeat.toString());
    }

    /** Guards against a run under the former tenant that an up-to-date edge would not find. */
    @Test
    void aFirstAttemptAtAnEdgeWithTheFormerConfigurationAndItsRepeatRunOnce() {
        frozen.freeze(true);
        passKeyOn();
        attempt(frozen, "topup", PASSED_KEY, "op");
        pass(STANDS_STILL_MS);
        goesOnStale();
        pass(100);
        attempt(running, "topup", PASSED_KEY, "op");
        pass(2_000);
        Answer repeat = attempt(frozen, "topup", PASSED_KEY, "op");
        pass(2_000);
        assertRanOnce("op", "village");
        assertEquals("200 done by a4", repeat.toString());
    }

    /** Guards against a second run where only the repeat's key is new to the tenant. */
    @Test
    void aRepeatWithAnotherKeyOfTheTenantAtAnEdgeWithTheFormerConfigurationDoesNotRunAgain() {
        frozen.freeze(true);
        passKeyOn();
        attempt(running, "topup", VILLAGE_KEY, "op");
        pass(200);
        Answer repeat = attempt(frozen, "topup", PASSED_KEY, "op");
        pass(STANDS_STILL_MS);
        goesOnStale();
        pass(2_000);
        assertRanOnce("op", "village");
        assertEquals(503, repeat.status);
        Answer later = attempt(frozen, "topup", PASSED_KEY, "op");
        pass(1_000);
        assertRanOnce("op", "village");
        assertEquals("200 done by a3", later.toString());
    }

    /** Guards against a second run of an operation whose two attempts were sent before the key was passed on. */
    @Test
    void aRepeatThatIsHandledAfterTheChangeDoesNotRunAgain() {
        attempt(running, "topup", PASSED_KEY, "op");
        pass(200);
        passKeyOn();
        Answer repeat = attempt(running, "topup", PASSED_KEY, "op");
        pass(1_000);
        assertRanOnce("op", "household");
        assertEquals("200 done by a3", repeat.toString());
    }

    /** Guards against a second run on a public route, where a key that an edge does not know is no reason to refuse. */
    @Test
    void aRepeatOnAPublicRouteAtAnEdgeThatDoesNotKnowTheKeyDoesNotRunAgain() {
        frozen.freeze(true);
        change("modify", 1, "{'revision':2,'upsert':{'tenants':[" + tenant("village", VILLAGE_KEY, "new-key") + "]}}");
        until(() -> revision(running) == 2, "the running edge applies the change");
        attempt(running, "open", "new-key", "op");
        attempt(running, "open", VILLAGE_KEY, "other");
        pass(200);
        attempt(frozen, "open", "new-key", "op");
        attempt(frozen, "open", "new-key", "other");
        pass(STANDS_STILL_MS);
        goesOnStale();
        pass(2_000);
        assertRanOnce("op", "village");
        assertRanOnce("other", "village");
    }
}
