package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.platform.configuration.ClientLimits;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * An edge's proxy on a simulated clock and network: the production classes between scripted clients, broker and
 * hosts.
 */
final class SimulatedProxy {
    static final Address FRONT = new Address("10.0.0.1", 8241);

    final Simulation simulation = new Simulation(1, 1_900_000_000_000L);
    final RequestCounters counters = new RequestCounters();
    final ScriptedBroker broker = new ScriptedBroker(this);
    final ScriptedOperations operations = new ScriptedOperations();
    final Map<String, Actor> actors = new LinkedHashMap<>();
    private final Machine edge;
    final HostConnectionPools connectionPools;
    final RequestRouter router;
    final FrontEndServer frontEndServer;
    private Configuration configuration = Configuration.NONE;
    /** Whether a newer configuration may be in force elsewhere. */
    boolean mayBeOutdated;

    private int clientCount;

    SimulatedProxy() {
        edge = machine(FRONT.host());
        connectionPools = new HostConnectionPools(edge, 4_000, counters);
        router = new RequestRouter(
                edge,
                "edge-1",
                "zone-1",
                new Source(),
                broker,
                QuotaGate.UNLIMITED,
                operations,
                ip -> ip.startsWith("10.0.1."),
                connectionPools,
                counters,
                48 << 20,
                1);
        frontEndServer = new FrontEndServer(edge, router, 100);
        frontEndServer.listen(FRONT);
        actors.put("broker", broker);
        actors.put("claims", operations);
        settle();
    }

    void route(String type, int retryCount) {
        route("r", type, retryCount, new ClientLimits(2_048, 10_000, 3_000, 15_000));
    }

    /** Configures a single route with this name, for the paths below it. */
    void route(String name, String type, int retryCount, ClientLimits limits) {
        configuration = Configuration.read(("{\"revision\":1,\"routes\":[{\"name\":\""
                        + name + "\",\"host\":\"h.example\",\"path-prefix\":\"/" + name + "/\",\"route-type\":\""
                        + type
                        + "\",\"timeout-ms\":4000,\"target-ms\":400,\"priority\":1,\"service\":\"s\",\"retry-count\":"
                        + retryCount
                        + "}],\"services\":[{\"name\":\"s\",\"health-path\":null,\"max-connections\":8,\"protocol\":\"h1\",\"tls-mode\":false,\"memory-mb\":128,"
                        + "\"boot-ms\":500,\"max-concurrency\":4}],\"limits\":{\"max-header-bytes\":"
                        + limits.maxHeaderBytes()
                        + ",\"max-body-bytes\":" + limits.maxBodyBytes() + ",\"header-timeout-ms\":"
                        + limits.headerTimeoutMs() + ",\"idle-timeout-ms\":" + limits.idleTimeoutMs() + "}}")
                .getBytes(StandardCharsets.UTF_8));
    }

    void configuration(String json) {
        configuration = Configuration.read(json.getBytes(StandardCharsets.UTF_8));
    }

    private final class Source implements ConfigurationSource {
        @Override
        public Configuration current() {
            return configuration;
        }

        @Override
        public boolean mayBeOutdated() {
            return mayBeOutdated;
        }
    }

    private Machine machine(String ip) {
        return simulation.machine(inet(ip));
    }

    private static InetAddress inet(String ip) {
        try {
            return InetAddress.getByName(ip);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(ip, e);
        }
    }

    /** Address of the host with this name. */
    String address(String name) {
        actor(name);
        return "10.0.1." + (name.charAt(0) - 'a' + 1) + ":8080";
    }

    /**
     * The actor with this name: {@code client...} is a client, with {@code -at-} one that calls from a host's address;
     * {@code edge} is the edge itself; every other is a host.
     */
    Actor actor(String name) {
        Actor actor = actors.get(name);
        if (actor == null) {
            actor = name.equals("edge")
                    ? new Edge()
                    : name.startsWith("client")
                            ? new ScriptedClient(
                                    machine(name.contains("-at-") ? "10.0.1.200" : "10.0.2." + ++clientCount),
                                    new InetSocketAddress(FRONT.host(), FRONT.port()))
                            : new ScriptedHost(
                                    name,
                                    machine("10.0.1." + (name.charAt(0) - 'a' + 1)),
                                    new InetSocketAddress("10.0.1." + (name.charAt(0) - 'a' + 1), 8080));
            actors.put(name, actor);
            settle();
        }
        return actor;
    }

    private final class Edge extends Actor {
        @Override
        boolean act(String[] words) {
            switch (words[0]) {
                case "drains" -> frontEndServer.drain();
                case "shuts" -> frontEndServer.stopAccepting();
                case "answers-now" -> frontEndServer.answerNow();
                case "loses" -> connectionPools.onInstanceGone(words[1]);
                default -> {
                    return false;
                }
            }
            return true;
        }
    }

    /** The graceful shutdown of the edge's process. */
    GracefulShutdown shutdown(IntConsumer exit) {
        return new GracefulShutdown(edge, router, frontEndServer, exit);
    }

    void until(long ms) {
        simulation.runUntil(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** Pauses the edge's machine for {@code ms}. */
    void freeze(long ms) {
        simulation.freeze(edge);
        until(TimeUnit.NANOSECONDS.toMillis(simulation.now()) + ms);
        simulation.thaw(edge);
    }

    /** Pauses the edge's machine for {@code ms}, in the middle of which {@code events} happen elsewhere. */
    void freezeWhile(long ms, Runnable events) {
        long began = TimeUnit.NANOSECONDS.toMillis(simulation.now());
        simulation.freeze(edge);
        until(began + ms / 2);
        events.run();
        until(began + ms);
        simulation.thaw(edge);
    }

    void settle() {
        simulation.runUntil(simulation.now());
    }

    /**
     * Plays a timeline. For each row the clock advances to its time and its actions run from left to right; then the
     * events observed must be exactly those in the row.
     */
    void play(String drawn) {
        Timeline timeline = Timeline.read(drawn);
        timeline.names().forEach(this::actor);
        for (Timeline.Row row : timeline.rows()) {
            until(row.at());
            Map<String, List<String>> expected = new LinkedHashMap<>();
            for (int i = 0; i < timeline.names().size(); i++) {
                String name = timeline.names().get(i);
                List<String> events = new java.util.ArrayList<>();
                for (String item : row.cells().get(i)) {
                    if (actor(name).act(item.split(" +"))) {
                        settle();
                    } else {
                        events.add(item);
                    }
                }
                expected.put(name, events);
            }
            Map<String, List<String>> seen = new LinkedHashMap<>();
            timeline.names().forEach(name -> seen.put(name, actor(name).look()));
            assertEquals(expected.toString(), seen.toString(), row.drawn());
        }
    }

    /** Checks that no request, slot, claim or buffered byte is left. */
    void assertNothingLeft() {
        until(TimeUnit.NANOSECONDS.toMillis(simulation.now()) + 6_000);
        assertEquals(0, router.inFlight(), "requests in flight");
        assertEquals(0, router.activeRequests(), "active requests");
        assertEquals(0, router.heldBytes(), "bytes buffered");
        assertEquals(0, broker.openCount(), "slots not released");
        assertEquals(0, operations.openCount(), "active claims");
    }
}
