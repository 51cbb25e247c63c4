package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.edge.SimulatedEdge;
import brambletray.platform.settings.SimulatedSettings;
import java.net.InetAddress;

/** One edge machine and its process: the complete program, without any caller. */
final class EdgeNode {
    private final SimulatedCluster cluster;
    final String name;
    private final String ip;
    final InetAddress address;
    private Machine machine;
    private SimulatedEdge program;
    private boolean frozen;
    /** When it last was out of touch by itself or its links. */
    long outOfTouchSinceMs;
    /** The newest revision that was seen active in this incarnation. */
    long newest;

    EdgeNode(SimulatedCluster cluster, int number) {
        this.cluster = cluster;
        name = "edge-" + number;
        ip = "10.2." + number + ".1";
        address = SimulatedCluster.ip(10, 2, number, 1);
    }

    boolean isRunning() {
        return machine != null && !frozen;
    }

    void start() {
        if (machine != null) {
            return;
        }
        cluster.note(name, "start");
        newest = 0;
        outOfTouchSinceMs = cluster.now();
        machine = cluster.machine(address, name);
        Machine here = machine;
        long newIncarnation = cluster.random.nextLong() | 1;
        String settings = "node-name=" + name + "\nrole=edge\nhardware-class=edge\nserved-roles=edge\nip-address=" + ip
                + "\nzone=z1\nregion=r\nzones.z1=r\nbind-addresses.front-end=" + ip + ":" + SimulatedCluster.FRONT
                + "\nbind-addresses.readiness="
                + ip + ":"
                + SimulatedCluster.READY + "\ninternal-port-range=7400,7415\nseed-peers=" + cluster.seeds()
                + "\ninitial-start=false\nloss-counted=false\nfault-tolerance.machine-losses=" + cluster.script.losses()
                + "\n";
        here.loop()
                .execute(() -> program = SimulatedEdge.start(
                        SimulatedSettings.of(settings),
                        here,
                        newIncarnation,
                        code -> cluster.director.loop().execute(this::kill)));
    }

    void kill() {
        if (machine != null) {
            cluster.note(name, "killed");
            outOfTouchSinceMs = cluster.now();
            cluster.simulation.kill(machine);
            machine = null;
            program = null;
            frozen = false;
        }
    }

    void freeze(boolean still) {
        if (machine == null || frozen == still) {
            return;
        }
        cluster.note(name, still ? "frozen" : "thawed");
        outOfTouchSinceMs = cluster.now();
        frozen = still;
        if (still) {
            cluster.simulation.freeze(machine);
        } else {
            cluster.simulation.thaw(machine);
        }
    }

    /** Whether it is out of touch just now. */
    boolean isOutOfTouch() {
        if (!isRunning()) {
            return true;
        }
        for (CoreNode core : cluster.most()) {
            if (!cluster.path(address, core.address)) {
                return true;
            }
        }
        return false;
    }

    /** The configuration that it serves by, or {@link Configuration#NONE}. */
    Configuration configuration() {
        return program == null ? Configuration.NONE : program.configuration();
    }

    boolean ready() {
        return program != null && program.isReady();
    }

    /** The order that this configuration came of; 0: none. */
    static int order(Configuration configuration) {
        Route mark = configuration.routes().get("mark");
        return mark == null
                ? 0
                : Integer.parseInt(mark.prefix().substring(2, mark.prefix().indexOf("/p")));
    }
}
