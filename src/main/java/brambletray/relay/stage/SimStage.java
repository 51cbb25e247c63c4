package brambletray.relay.stage;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.relay.emulator.Endpoint;
import brambletray.relay.journal.Journal;
import brambletray.relay.script.Script;
import brambletray.relay.serve.Config;
import brambletray.relay.serve.RelayInstance;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.UnaryOperator;

/**
 * A script played in simulated time: the relays' own code, partners, agents and clients on one thread. The
 * same script and seed give the same run, to the byte and the nanosecond.
 */
public final class SimStage implements AutoCloseable {
    /** What the wall clocks show at the start; Unix time, ms. */
    private static final long UNIX = 1_900_000_000_000L;

    private static final int SOCKETS = 1_024;
    private static final long DISK = 3_000_000;
    /** ns; between looks at what relays use. */
    private static final long MEASURE = 100_000_000;
    /** Share of what is written that arrives in pieces. */
    private static final double CUT = 0.2;
    /** Disagreements that are told. */
    private static final int TOLD_MOST = 10;

    private static final int PORT = 8_080;
    private static final int MQTT_PORT = 1_883;

    private final Script script;
    private final Path folder;
    private final UnaryOperator<String> told;
    private final Simulation simulation;
    private final Scene scene;
    private final List<Machine> machines = new ArrayList<>();
    private final List<MemoryDisk> disks = new ArrayList<>();
    private final List<RelayInstance> instances = new ArrayList<>();
    private final Map<Integer, Long> killedAt = new HashMap<>();
    private final Set<Integer> running = new HashSet<>();
    private final Set<Integer> doomed = new TreeSet<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final IntFunction<RelayInstance.Surroundings> surroundings;
    private Store.Promise promise = Store.Promise.PROCESS;
    private int agentPort = PORT;
    private int mostConnections;
    private final List<String> disagreements = new ArrayList<>();
    private long mostDisk;
    private long measureAt;

    /** {@code folder}: for the relays' configurations; their journals are in memory. */
    public SimStage(Script script, long seed, Path folder) throws IOException, Config.Unusable {
        this(script, seed, folder, UnaryOperator.identity());
    }

    /**
     * {@code told}: what becomes of a relay's configuration before it reads it, to play relays with a
     * fault.
     */
    public SimStage(Script script, long seed, Path folder, UnaryOperator<String> told)
            throws IOException, Config.Unusable {
        this(script, seed, folder, told, null);
    }

    /** {@code surroundings}: of each relay at each start, in the place of its agent; null for that. */
    SimStage(
            Script script,
            long seed,
            Path folder,
            UnaryOperator<String> told,
            IntFunction<RelayInstance.Surroundings> surroundings)
            throws IOException, Config.Unusable {
        this.told = told;
        this.surroundings = surroundings;
        this.script = script;
        this.folder = folder;
        simulation = new Simulation(seed, UNIX);
        network(seed);
        Machine outside = simulation.machine(ip(10, 9, 0, 1));
        scene = new Scene(outside, script, seed, new Scene.Plan() {
            @Override
            public InetSocketAddress partner(int index) {
                return new InetSocketAddress(partnerIp(index), PORT);
            }

            @Override
            public InetSocketAddress agent(int relay) {
                // Another port each time, so that one that moves can listen while the old one still does.
                return new InetSocketAddress(ip(10, 3, relay / 250, relay % 250 + 1), ++agentPort);
            }

            @Override
            public String caller(int relay) {
                return relayIp(relay).getHostAddress();
            }
        });
        scene.silence((address, silent) -> {
            if (silent) {
                simulation.network().vanish(address.getAddress());
            } else {
                simulation.network().comeBack(address.getAddress());
            }
        });
        scene.whenAgentMoved((relay, address) -> instances.get(relay).discoveryAt(address));
        scene.listen();
        settle();
        scene.listenAgents();
        settle();
        for (int i = 0; i < script.fleet().relays(); i++) {
            addresses.add(new InetSocketAddress(relayIp(i), PORT));
            machines.add(null);
            disks.add(new MemoryDisk());
            instances.add(null);
            start(i);
        }
        settle();
        scene.begin(
                addresses,
                addresses.stream()
                        .map(a -> new InetSocketAddress(a.getAddress(), MQTT_PORT))
                        .toList());
    }

    private void settle() {
        simulation.runUntil(simulation.now());
    }

    private static InetAddress ip(int a, int b, int c, int d) {
        try {
            return InetAddress.getByAddress(new byte[] {(byte) a, (byte) b, (byte) c, (byte) d});
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    private static InetAddress relayIp(int relay) {
        return ip(10, 1, relay / 250, relay % 250 + 1);
    }

    private static InetAddress partnerIp(int index) {
        return ip(10, 2, index / 250, index % 250 + 1);
    }

    /** Zones lie at the script's distances; agents and clients are near their relay. */
    private void network(long seed) {
        Script.Fleet fleet = script.fleet();
        SimNetwork network = simulation.network();
        network.cutStreams(CUT, seed);
        network.usual(new SimNetwork.Way(TimeUnit.MICROSECONDS.toNanos(200), fleet.jitter()));
        int index = 0;
        for (var partner : script.partners()) {
            for (var endpoint : partner.endpoints()) {
                for (int relay = 0; relay < fleet.relays(); relay++) {
                    boolean near =
                            fleet.zones().get(relay % fleet.zones().size()).equals(endpoint.zone());
                    SimNetwork.Way way =
                            new SimNetwork.Way(near ? fleet.sameZone() : fleet.crossZone(), fleet.jitter());
                    network.way(relayIp(relay), partnerIp(index), way);
                    network.way(partnerIp(index), relayIp(relay), way);
                }
                index++;
            }
        }
    }

    private void start(int relay) throws IOException, Config.Unusable {
        Path state = Files.createDirectories(folder.resolve("relay-" + relay));
        Path file = folder.resolve("relay-" + relay + ".json");
        Files.writeString(file, told.apply(scene.config(relay, addresses.get(relay), SOCKETS, DISK / 1e6)));
        scene.writeFiles(relay, folder, relayIp(relay), MQTT_PORT);
        Config config = Config.read(Map.of("EDGE_CONFIG", file.toString(), "EDGE_STATE", state.toString()));
        Machine machine = simulation.machine(relayIp(relay));
        Journal journal = Journal.open(
                disks.get(relay), DISK, promise, config.settings().allowed().attempts());
        machines.set(relay, machine);
        running.add(relay);
        machine.loop().execute(() -> {
            try {
                instances.set(
                        relay,
                        surroundings == null
                                ? new RelayInstance(machine, config, journal)
                                : new RelayInstance(machine, config, journal, surroundings.apply(relay)));
            } catch (Wire.Malformed malformed) {
                throw new IllegalStateException("the scene's own list cannot be read", malformed);
            }
        });
    }

    /** As {@link #kill}, right after so many more writes to its folder: nothing more of it gets out. */
    public void killAfterWrite(int relay, int writes) {
        int[] left = {writes};
        MemoryDisk disk = disks.get(relay);
        disk.whenWritten(() -> {
            if (--left[0] == 0) {
                doomed(relay);
            }
        });
    }

    /** As {@link #kill}, right after so many more pieces of data that it puts on the network. */
    public void killAfterSent(int relay, int pieces) {
        int[] left = {pieces};
        simulation.network().whenSent(machine -> {
            if (machine.equals(relayIp(relay)) && --left[0] == 0) {
                doomed(relay);
            }
        });
    }

    /** Dead from this instruction on; its loop ends with the instant. */
    private void doomed(int relay) {
        simulation.network().mute(relayIp(relay));
        MemoryDisk old = disks.get(relay);
        disks.set(relay, old.killed());
        old.die();
        doomed.add(relay);
    }

    private boolean endDoomed() {
        if (simulation.now() >= measureAt) {
            measureAt = simulation.now() + MEASURE;
            measure();
        }
        for (int relay : doomed) {
            // Its folder has been taken over as it was at that instruction: there is nothing to let go.
            if (running.remove(relay)) {
                killedAt.put(relay, scene.now());
                simulation.kill(machines.get(relay));
            }
        }
        doomed.clear();
        return false;
    }

    /** Ends a relay as by SIGKILL; its folder stays. One that is dead stays so. */
    public void kill(int relay) throws IOException {
        if (!running.remove(relay)) {
            return;
        }
        killedAt.put(relay, scene.now());
        simulation.kill(machines.get(relay));
        instances.get(relay).abandon();
    }

    /** The folder of a relay, in memory. */
    public MemoryDisk disk(int relay) {
        return disks.get(relay);
    }

    /** Puts another folder in the place of a relay's, as it may be left by a cut; while the relay is dead. */
    public void disk(int relay, MemoryDisk left) {
        disks.set(relay, left);
    }

    /** What a commit of the relays outlasts from their next start on; the process until then. */
    public void promise(Store.Promise outlasts) {
        promise = outlasts;
    }

    /** Starts a relay again on its folder. */
    public void restart(int relay) throws IOException, Config.Unusable {
        // One that was to die of a write or send that never came dies now.
        disks.get(relay).whenWritten(() -> {});
        simulation.network().whenSent(machine -> {});
        kill(relay);
        simulation.network().unmute(relayIp(relay));
        scene.restarted(relay, killedAt.getOrDefault(relay, 0L));
        start(relay);
    }

    /** Runs until this much of the script's time has passed; ns. */
    public void runUntil(long nanos) {
        simulation.runUntil(nanos, this::endDoomed);
    }

    /** Plays the script to its end, and until all that was taken on has ended. */
    public Score.Result play() {
        long most = script.length()
                + script.classes().stream()
                                .mapToLong(Script.MessageClass::limit)
                                .max()
                                .orElse(0)
                        * 1_000_000
                + 2_000_000_000L;
        simulation.runUntil(script.length(), this::endDoomed);
        simulation.runUntil(most, () -> endDoomed() || scene.over());
        audit();
        return scene.result();
    }

    /** What the relay that used most of it has used so far: connections at once, and bytes on disk. */
    public int mostConnections() {
        return mostConnections;
    }

    public long mostDisk() {
        return mostDisk;
    }

    /** Looks at what each relay uses, a few times a second. */
    private void measure() {
        for (int i = 0; i < disks.size(); i++) {
            mostConnections = Math.max(
                    mostConnections, simulation.network().at(relayIp(i)).size());
            mostDisk = Math.max(mostDisk, disks.get(i).used());
        }
        audit();
    }

    /** Holds loop, module and journal of each relay against one another. */
    private void audit() {
        for (int relay : running) {
            String told =
                    instances.get(relay) == null ? null : instances.get(relay).disagreement();
            if (told != null && disagreements.size() < TOLD_MOST) {
                disagreements.add("relay " + relay + " at " + simulation.now() / 1_000_000 + " ms: " + told);
            }
        }
    }

    /** Where loop, module and journal of a relay did not hold the same messages; a few of the first. */
    public List<String> disagreements() {
        return List.copyOf(disagreements);
    }

    public Scene scene() {
        return scene;
    }

    public Simulation simulation() {
        return simulation;
    }

    /** True for a message whose class may be repeated at will. */
    boolean isSafe(String id) {
        return scene.effect(id).equals("safe");
    }

    /** The relays, by number; for tests that look inside. */
    public RelayInstance instance(int relay) {
        return instances.get(relay);
    }

    /** The address at which an endpoint stands in the simulated network. */
    public InetAddress ip(Endpoint endpoint) {
        return scene.address(endpoint).getAddress();
    }

    @Override
    public void close() {
        for (RelayInstance instance : instances) {
            instance.stop();
        }
        scene.close();
    }
}
