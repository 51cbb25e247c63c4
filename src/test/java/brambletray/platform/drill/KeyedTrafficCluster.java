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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The production programs in simulated time, with tenants, keyed routes and hosts that record what they run: three
 * members of the core, three edges, an operator and clients. {@code topup} is a keyed route, {@code open} one that is
 * public too.
 */
final class KeyedTrafficCluster {
    private static final int HOSTS = 8;
    private static final int MAX_CONCURRENCY = 4;
    private static final int BOOT_MS = 200;
    private static final int MEMORY_MB = 512;
    private static final int WORKER_MB = 16_384;
    private static final int HOST_PORT = 8_080;
    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int CHANGE_RETRY_MS = 50;
    private static final int MAX_WAIT_S = 20;
    private static final int MAX_ANSWER_BYTES = 65_536;
    private static final int MAX_WARM_UP_ATTEMPTS = 20;
    private static final long NANOS_PER_MS = 1_000_000;

    /** What a client has got for one attempt. */
    static final class Answer {
        /** Id of the attempt. */
        final String attempt;
        /** 0 until there is an answer. */
        int status;

        String body = "";

        Answer(String attempt) {
            this.attempt = attempt;
        }

        @Override
        public String toString() {
            return status + " " + body;
        }
    }

    final SimulatedCluster cluster;
    final RecordingHosts hosts = new RecordingHosts();
    /** What has gone wrong in the cluster itself. */
    final List<String> failures = new ArrayList<>();

    private final Machine caller;
    private final Map<EdgeNode, ArrayDeque<Connection>> idleConnections = new HashMap<>();
    private int attempts;
    private int changesInProgress;
    private long revision;

    KeyedTrafficCluster(long seed) {
        cluster = new SimulatedCluster(
                new ScenarioScript(seed, 3, 1, 60_000, List.of()), KeyedTrafficCluster::openPlatform);
        cluster.whenFailed = failures::add;
        caller = cluster.machine(SimulatedCluster.ip(10, 9, 0, 1), "caller");
        for (int i = 1; i <= HOSTS; i++) {
            Machine host = cluster.machine(SimulatedCluster.ip(10, 20, 0, i), "host-" + i);
            hosts.listen(host, new InetSocketAddress(SimulatedCluster.ip(10, 20, 0, i), HOST_PORT));
        }
    }

    private static void openPlatform(Machine machine) {
        long nowMs = machine.clock().nanos() / NANOS_PER_MS;
        PlatformStub stub = new PlatformStub(
                new PlatformParameters(100, 100, 100, 50, 4_000, 2_000, 1_000),
                1,
                nowMs,
                made -> "10.20.0." + (made + 1) + ":" + HOST_PORT);
        stub.worker("worker-1", "z1", WORKER_MB, nowMs);
        stub.service("ledger", new ServiceKind(MEMORY_MB, BOOT_MS, 0));
        new PlatformStubServer(machine, stub)
                .open(new InetSocketAddress(
                        SimulatedCluster.PLATFORM_ADDRESS.host(), SimulatedCluster.PLATFORM_ADDRESS.port()));
    }

    /** A tenant as it stands in a configuration, with single quotes. */
    static String tenant(String name, List<String> keys) {
        return "{'name':'" + name + "','api-keys':['" + String.join("','", keys) + "'],'priority':1}";
    }

    private static String route(String name, String type, boolean isPublic) {
        return "{'name':'" + name + "','host':'h.example','path-prefix':'/" + name + "/','route-type':'" + type + "',"
                + "'timeout-ms':4000,'target-ms':500,'priority':2,'service':'ledger','retry-count':2,'public':"
                + isPublic + "}";
    }

    /** Starts all processes with these tenants, and serves a request at each edge by the given key. */
    void start(String tenants, String key) {
        cluster.cores.forEach(CoreNode::start);
        cluster.edges.forEach(EdgeNode::start);
        until(() -> cluster.coordinator() != null, "a coordinator");
        String services = "[{'name':'ledger','health-path':null,'max-connections':72,'memory-mb':" + MEMORY_MB
                + ",'boot-ms':" + BOOT_MS + ",'max-concurrency':" + MAX_CONCURRENCY + "}]";
        requestChange(
                "replace",
                "'routes':[" + route("topup", "keyed", false) + "," + route("open", "keyed", true) + "],'services':"
                        + services + ",'tenants':[" + tenants + "]");
        until(() -> cluster.edges.stream().allMatch(edge -> edge.ready() && isUpToDate(edge)), "edges serve");
        cluster.edges.forEach(edge -> warmUp(edge, key));
    }

    /** Attempts until one is served: the first host takes some time to start. */
    private void warmUp(EdgeNode edge, String key) {
        Answer answer = null;
        for (int i = 0; i < MAX_WARM_UP_ATTEMPTS && (answer == null || answer.status != 200); i++) {
            answer = attempt(edge, "topup", key, "warm-" + edge.name);
            pass(1_000);
        }
        assertEquals(200, answer.status, "warm-up at " + edge.name);
    }

    /** Ends all processes and checks that the cluster itself has not failed. */
    void close() {
        cluster.cores.forEach(core -> core.kill(false));
        cluster.edges.forEach(EdgeNode::kill);
        assertEquals(List.of(), failures);
    }

    void pass(long ms) {
        cluster.simulation.runUntil(cluster.simulation.now() + ms * NANOS_PER_MS);
    }

    void until(BooleanSupplier holds, String what) {
        long limit = cluster.simulation.now() + MAX_WAIT_S * 1_000 * NANOS_PER_MS;
        assertTrue(cluster.simulation.runUntil(limit, holds), what + " within " + MAX_WAIT_S + " s");
    }

    /** Whether the edge has the configuration that was acknowledged last. */
    boolean isUpToDate(EdgeNode edge) {
        return edge.configuration().revision() == revision;
    }

    /** Whether no change is on its way. */
    boolean isChangeAcknowledged() {
        return changesInProgress == 0;
    }

    /** Requests that these tenants be as given; repeated until it is acknowledged. */
    void requestTenants(String tenants) {
        requestChange("modify", "'upsert':{'tenants':[" + tenants + "]}");
    }

    /** Changes tenants and returns once that is acknowledged. */
    void changeTenants(String tenants) {
        requestTenants(tenants);
        until(this::isChangeAcknowledged, "the change is acknowledged");
    }

    /** Changes the type of the route {@code topup} and returns once that is acknowledged. */
    void changeRouteType(String type) {
        requestChange("modify", "'upsert':{'routes':[" + route("topup", type, false) + "]}");
        until(this::isChangeAcknowledged, "the change is acknowledged");
    }

    private void requestChange(String kind, String fields) {
        long base = revision++;
        changesInProgress++;
        String body = ("{'revision':" + revision + "," + fields + "}").replace('\'', '"');
        request(kind, base, body.getBytes(StandardCharsets.UTF_8), 0);
    }

    private void request(String kind, long base, byte[] body, int turn) {
        HttpCall.make(
                caller,
                Address.parse(cluster.cores.get(turn % cluster.cores.size()).control()),
                "/brambletray/configuration/" + kind,
                base,
                body,
                (status, location, reply) -> {
                    if (status == 200) {
                        changesInProgress--;
                    } else if (status == 400 || status == 409 || status == 412) {
                        failures.add("change refused: " + status + " " + new String(reply, StandardCharsets.UTF_8));
                    } else {
                        cluster.after(CHANGE_RETRY_MS, () -> request(kind, base, body, turn + 1));
                    }
                });
    }

    /** Opens a connection to the edge that the next attempt there uses. */
    void connect(EdgeNode edge) {
        new Connection(edge).open(null);
    }

    /** Sends an attempt of an operation on a connection that is open and idle, or on a new one. */
    Answer attempt(EdgeNode edge, String route, String credential, String operation) {
        Answer answer = new Answer("a" + ++attempts);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + route + "/1", Unpooled.EMPTY_BUFFER);
        request.headers()
                .set("Host", "h.example")
                .set("Content-Length", 0)
                .set("Brambletray-Attempt-Id", answer.attempt)
                .set("Brambletray-Credential", credential)
                .set("Brambletray-Operation-Key", operation);
        Connection idle = idleConnections(edge).poll();
        if (idle == null) {
            new Connection(edge).open(new Exchange(request, answer));
        } else {
            idle.send(new Exchange(request, answer));
        }
        return answer;
    }

    private ArrayDeque<Connection> idleConnections(EdgeNode edge) {
        return idleConnections.computeIfAbsent(edge, none -> new ArrayDeque<>());
    }

    private record Exchange(DefaultFullHttpRequest request, Answer answer) {}

    /** A client's connection to an edge: one exchange at a time, and idle between them. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final EdgeNode edge;
        private Channel channel;
        /** Null while it is idle. */
        private Exchange exchange;

        Connection(EdgeNode edge) {
            this.edge = edge;
        }

        /** {@code first}: is sent once the connection is open; null for none. */
        void open(Exchange first) {
            exchange = first;
            caller.dialling(CONNECT_TIMEOUT_MS, new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel opened) {
                            opened.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(MAX_ANSWER_BYTES),
                                            Connection.this);
                        }
                    })
                    .connect(new InetSocketAddress(edge.address, SimulatedCluster.FRONT));
        }

        void send(Exchange next) {
            exchange = next;
            channel.writeAndFlush(next.request());
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            if (exchange == null) {
                idleConnections(edge).add(this);
            } else {
                send(exchange);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            exchange.answer().status = response.status().code();
            exchange.answer().body = response.content().toString(StandardCharsets.UTF_8);
            exchange = null;
            idleConnections(edge).add(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleConnections(edge).remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
