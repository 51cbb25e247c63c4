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
 * An edge's front in simulated time, on a simulated network: the production classes between scripted clients, broker
 * and hosts.
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
    /** A newer configuration may be in force elsewhere. */
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

    void route(String type, int hosts) {
        route("r", type, hosts, new ClientLimits(2_048, 10_000, 3_000, 15_000));
    }

    /** The only route there is: of this name, and for the paths below it. */
    void route(String name, String type, int hosts, ClientLimits limits) {
        configuration = Configuration.read(("{\"revision\":1,\"routes\":[{\"name\":\""
                        + name + "\",\"host\":\"h.example\",\"path-prefix\":\"/" + name + "/\",\"route-type\":\""
                        + type
                        + "\",\"timeout-ms\":4000,\"target-ms\":400,\"priority\":1,\"service\":\"s\",\"retry-count\":"
                        + hosts
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

    /** Of a host by its name. */
    String address(String name) {
        actor(name);
        return "10.0.1." + (name.charAt(0) - 'a' + 1) + ":8080";
    }

    /**
     * By the name: {@code client...} is one, one {@code -at-} a host calls from there, {@code edge} is told to drain;
     * every other a host.
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
                case "loses" -> connectionPools.onInstanceGone(words[1]);
                default -> {
                    return false;
                }
            }
            return true;
        }
    }

    /** The orderly end of the edge's process. */
    GracefulShutdown shutdown(IntConsumer exit) {
        return new GracefulShutdown(edge, router, frontEndServer, exit);
    }

    void until(long ms) {
        simulation.runUntil(TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /** The edge's machine stands still, ms. */
    void freeze(long ms) {
        simulation.freeze(edge);
        until(TimeUnit.NANOSECONDS.toMillis(simulation.now()) + ms);
        simulation.thaw(edge);
    }

    void settle() {
        simulation.runUntil(simulation.now());
    }

    /**
     * Each row: time passes, then what is drawn is done from left to right; then what was seen must be what is drawn,
     * and nothing else.
     */
    void play(String drawn) {
        Timeline sheet = Timeline.read(drawn);
        sheet.names().forEach(this::actor);
        for (Timeline.Row row : sheet.rows()) {
            until(row.at());
            Map<String, List<String>> expected = new LinkedHashMap<>();
            for (int i = 0; i < sheet.names().size(); i++) {
                String name = sheet.names().get(i);
                List<String> sights = new java.util.ArrayList<>();
                for (String item : row.cells().get(i)) {
                    if (actor(name).act(item.split(" +"))) {
                        settle();
                    } else {
                        sights.add(item);
                    }
                }
                expected.put(name, sights);
            }
            Map<String, List<String>> seen = new LinkedHashMap<>();
            sheet.names().forEach(name -> seen.put(name, actor(name).look()));
            assertEquals(expected.toString(), seen.toString(), row.drawn());
        }
    }

    /** Nothing is left over: no request, no place, no byte. */
    void assertNothingLeft() {
        until(TimeUnit.NANOSECONDS.toMillis(simulation.now()) + 6_000);
        assertEquals(0, router.inFlight(), "requests in flight");
        assertEquals(0, router.activeRequests(), "requests under way");
        assertEquals(0, router.heldBytes(), "bytes held");
        assertEquals(0, broker.openCount(), "places not given back");
        assertEquals(0, operations.openCount(), "claims not ended");
    }
}
