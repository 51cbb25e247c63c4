package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.platform.settings.Address;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Machines of a course, the links between them, and when the core counts as settled (page RULES). Times: ms since the
 * start of the course.
 */
final class SimulatedCluster {
    static final int CONTROL = 8_248;
    static final int INNER = 7_400;
    static final int FRONT = 8_241;
    static final int READY = 8_246;
    static final int PLATFORM = 8_240;
    static final Address PLATFORM_ADDRESS = new Address("10.200.0.1", PLATFORM);
    /** Bounds of the deployments, ms. */
    static final int CONTACT = 4_000;

    static final int APPLY = 3_000;
    static final int ACK = 5_000;
    static final int SEED_LAG = 3_000;
    /** ns one way, and up to so large a share more. */
    static final SimNetwork.Way USUAL = new SimNetwork.Way(1_400_000, 0.3);
    /** A user timeout, and idle time before probes, as the program sets them on its links. */
    private static final long GIVE_UP = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final long IDLE = TimeUnit.SECONDS.toNanos(1);

    final ScenarioScript script;
    final Simulation simulation;
    final SplittableRandom random;
    final Machine director;
    final int syncMs;
    /** Machines of the core that have not been removed. */
    final List<CoreNode> cores = new ArrayList<>();

    final List<EdgeNode> edges = new ArrayList<>();
    private final Map<List<InetAddress>, Integer> cuts = new HashMap<>();
    /** Control addresses as operators know them, with the times from and to which the machines were there. */
    private final Map<String, long[]> listed = new LinkedHashMap<>();

    private final Map<Machine, String> names = new HashMap<>();
    /** What all get at the first start. */
    private final String founders;
    /** Processes that ended by themselves after SIGTERM, and those that were ended by the grace. */
    int left;

    int cutShort;
    /** Links that are in trouble otherwise than by a cut within the core. */
    int troubledLinks;
    /** Notified of a fault of the course's own. */
    Consumer<String> whenFailed = why -> {};
    /** Notified of a process that ended after SIGTERM while the others counted on it. */
    Consumer<String> whenLeftEarly = why -> {};
    /** What happened to each process, where it is wanted. */
    Timeline timeline = Timeline.none();

    private long disturbedAt;
    private long settledSince = -1;

    /** A cluster whose platform has no instances. */
    SimulatedCluster(ScenarioScript script) {
        this(script, machine -> EmptyPlatform.open(machine, PLATFORM_ADDRESS));
    }

    /** {@code platform}: opens the platform at {@link #PLATFORM_ADDRESS} on the machine that it is given. */
    SimulatedCluster(ScenarioScript script, Consumer<Machine> platform) {
        this.script = script;
        simulation = new Simulation(ScenarioScript.mix(script.seed()), 1_900_000_000_000L);
        random = new SplittableRandom(ScenarioScript.mix(script.seed() ^ 0x5bd1e995L << 32));
        syncMs = new int[] {1, 5, 20}[random.nextInt(3)];
        director = simulation.machine(ip(10, 255, 0, 1));
        simulation.network().usual(USUAL);
        simulation.network().patience(INNER, GIVE_UP, IDLE);
        for (int i = 1; i <= script.members(); i++) {
            cores.add(new CoreNode(this, i, true));
        }
        List<String> three = new ArrayList<>(list());
        while (three.size() > 3) {
            three.remove(random.nextInt(three.size()));
        }
        founders = String.join(",", three);
        for (int i = 1; i <= 3; i++) {
            edges.add(new EdgeNode(this, i));
        }
        platform.accept(simulation.machine(platform()));
    }

    static InetAddress ip(int a, int b, int c, int d) {
        try {
            return InetAddress.getByAddress(new byte[] {(byte) a, (byte) b, (byte) c, (byte) d});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    static InetAddress platform() {
        return ip(10, 200, 0, 1);
    }

    long now() {
        return simulation.now() / 1_000_000;
    }

    void at(long ms, Runnable what) {
        director.loop().schedule(() -> run(what), Math.max(0, ms - now()), TimeUnit.MILLISECONDS);
    }

    /** A failing task would otherwise go unnoticed. */
    private void run(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) {
            java.io.StringWriter trace = new java.io.StringWriter();
            e.printStackTrace(new java.io.PrintWriter(trace));
            whenFailed.accept(trace.toString());
        }
    }

    void after(long ms, Runnable what) {
        at(now() + ms, what);
    }

    Machine machine(InetAddress address, String name) {
        Machine made = simulation.machine(address);
        names.put(made, name);
        return made;
    }

    /** Whose process runs just now. */
    String running() {
        for (Map.Entry<Machine, String> each : names.entrySet()) {
            if (each.getKey().loop() == simulation.running()) {
                return each.getValue();
            }
        }
        return "-";
    }

    // ---- Operators' list ------------------------------------------------------------------------
    void listed(String control) {
        listed.put(control, new long[] {now() == 0 ? -SEED_LAG : now(), Long.MAX_VALUE / 2});
    }

    void unlisted(String control) {
        listed.get(control)[1] = now();
    }

    /** The operator's list, which lags. */
    List<String> list() {
        long then = now() - SEED_LAG;
        List<String> there = new ArrayList<>();
        listed.forEach((control, span) -> {
            if (span[0] <= then && then < span[1]) {
                there.add(control);
            }
        });
        return there;
    }

    /** Three of the list, as a settings file would name them now. */
    String seeds() {
        if (now() < 1_000) {
            return founders;
        }
        List<String> all = list();
        while (all.size() > 3) {
            all.remove(random.nextInt(all.size()));
        }
        return String.join(",", all);
    }

    /** Puts this on the timeline of a process. */
    void note(String process, String text) {
        timeline.note(now(), process, text);
    }

    CoreNode at(String control) {
        for (CoreNode core : cores) {
            if (core.control().equals(control)) {
                return core;
            }
        }
        return null;
    }

    // ---- Links ----------------------------------------------------------------------------------
    void cut(InetAddress from, InetAddress to) {
        if (cuts.merge(List.of(from, to), 1, Integer::sum) == 1) {
            simulation.network().cut(from, to);
        }
    }

    void join(InetAddress from, InetAddress to) {
        if (cuts.merge(List.of(from, to), -1, (a, b) -> a + b == 0 ? null : a + b) == null) {
            simulation.network().join(from, to);
        }
    }

    boolean path(InetAddress one, InetAddress other) {
        return !cuts.containsKey(List.of(one, other)) && !cuts.containsKey(List.of(other, one));
    }

    // ---- Settled --------------------------------------------------------------------------------
    /** Something happens to a machine of the core, or to the links between them. */
    void disturb() {
        disturb(0);
    }

    /** {@code further}: ms that the calm is to last longer than usual. */
    void disturb(long further) {
        disturbedAt = Math.max(disturbedAt, now() + further);
        settledSince = -1;
    }

    /** Machines that run and are connected to this one both ways, itself too. */
    private Set<CoreNode> reached(CoreNode from) {
        Set<CoreNode> group = new LinkedHashSet<>();
        for (CoreNode other : cores) {
            if (other.isRunning() && path(from.address, other.address)) {
                group.add(other);
            }
        }
        return group;
    }

    /** Machines that run and reach more than half of the core. */
    List<CoreNode> most() {
        List<CoreNode> most = new ArrayList<>();
        for (CoreNode core : cores) {
            if (core.isRunning() && 2 * reached(core).size() > cores.size()) {
                most.add(core);
            }
        }
        return most;
    }

    void look() {
        boolean sick = troubledLinks > 0 || cores.stream().anyMatch(core -> core.isRunning() && core.isImpaired());
        if (sick) {
            disturb();
        }
        if (now() - disturbedAt < CONTACT || 2 * most().size() <= cores.size()) {
            settledSince = -1;
        } else if (settledSince < 0) {
            settledSince = now();
        }
    }

    /** Since when, or -1. */
    long settledSince() {
        return settledSince;
    }

    CoreNode leader() {
        for (CoreNode core : cores) {
            if (core.running()
                    && core.program().status().isLeader()
                    && core.program().status().active()) {
                return core;
            }
        }
        return null;
    }

    CoreNode coordinator() {
        for (CoreNode core : cores) {
            if (core.running() && core.program().mayAct()) {
                return core;
            }
        }
        return null;
    }
}
