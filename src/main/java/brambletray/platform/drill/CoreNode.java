package brambletray.platform.drill;

import brambletray.common.runtime.Machine;
import brambletray.platform.controlplane.SimulatedControlPlane;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.settings.SimulatedSettings;
import brambletray.platform.storage.SimulatedStore;
import java.net.InetAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** One machine of the core: a disk that stays, and a process that comes and goes. */
final class CoreNode {
    /** ms before the end of the grace from which a process may end although others count on it. */
    private static final int GRACE_MARGIN_MS = 1_100;

    private final SimulatedCluster cluster;
    final String name;
    final String ip;
    final InetAddress address;
    SimulatedStore.SimulatedDisk disk;
    private final boolean first;
    private boolean began;
    private Machine machine;
    private SimulatedStore store;
    private SimulatedControlPlane program;
    private boolean frozen;
    private boolean poweredOff;
    private boolean terminating;
    /** When SIGTERM came, ms of the course. */
    private long terminatingSinceMs;
    /** Counts processes. */
    private int processNumber;

    private String notedRole = "";

    CoreNode(SimulatedCluster cluster, int number, boolean first) {
        this.cluster = cluster;
        this.first = first;
        name = "core-" + number;
        ip = "10.1." + number + ".1";
        address = SimulatedCluster.ip(10, 1, number, 1);
        disk = new SimulatedStore.SimulatedDisk(cluster.syncMs);
        cluster.listed(control());
    }

    String control() {
        return ip + ":" + SimulatedCluster.CONTROL;
    }

    /** Whether a process is there, frozen or not. */
    boolean hasProcess() {
        return machine != null;
    }

    /** Whether it runs. */
    boolean isRunning() {
        return machine != null && !frozen;
    }

    /** Whether its program has come up. */
    boolean running() {
        return isRunning() && program != null;
    }

    boolean isImpaired() {
        return disk.refusesWrites
                || disk.syncMs > cluster.syncMs
                || disk.hungUntilMs
                        > TimeUnit.NANOSECONDS.toMillis(
                                cluster.simulation.clock().nanos());
    }

    SimulatedControlPlane program() {
        return program;
    }

    int processNumber() {
        return processNumber;
    }

    void start() {
        if (machine != null) {
            return;
        }
        cluster.disturb();
        if (poweredOff) {
            poweredOff = false;
            cluster.simulation.network().comeBack(address);
        }
        cluster.note(name, "start");
        boolean initial = first && !began;
        began = true;
        terminating = false;
        int mine = ++processNumber;
        machine = cluster.machine(address, name);
        Machine here = machine;
        store = new SimulatedStore(disk, here, cluster.random.split());
        long newIncarnation = cluster.random.nextLong() | 1;
        long origin = cluster.random.nextLong() | 1;
        String settings = settings(initial);
        here.loop()
                .execute(() -> program = SimulatedControlPlane.start(
                        SimulatedSettings.of(settings),
                        here,
                        disk.read(),
                        store.store(),
                        () -> cluster.director.loop().execute(() -> exited(mine)),
                        newIncarnation,
                        origin));
    }

    private String settings(boolean initial) {
        return "node-name=" + name + "\nrole=keep\nhardware-class=core\nserved-roles=control\nip-address=" + ip
                + "\nzone=z1\nregion=r\nzones.z1=r"
                + "\nbind-addresses.control-plane=" + control() + "\ninternal-port-range=7400,7415\nseed-peers="
                + cluster.seeds()
                + "\ninitial-start="
                + initial + "\nloss-counted=true\nfault-tolerance.machine-losses=" + cluster.script.losses()
                + "\ncloud-api.address=10.200.0.1:" + SimulatedCluster.PLATFORM
                + "\ncloud-api.rate-per-s=4\ncloud-api.lag-ms=800\ncloud-api.duty-rate-s=20\n";
    }

    private void exited(int which) {
        if (which == processNumber && machine != null) {
            cluster.note(name, "ends by itself");
            if (terminating && endsEarly()) {
                cluster.whenLeftEarly.accept(name + " ended " + (cluster.now() - terminatingSinceMs)
                        + " ms after SIGTERM, a member of the newest view in force");
            }
            kill(false);
            if (terminating) {
                cluster.left++;
            } else {
                cluster.after(300, this::start);
            }
        }
    }

    /**
     * Whether the others still depend on this process, which has received SIGTERM: it is a member of the newest view
     * that any running member knows, that view is active and has other members, and its grace period is not nearly
     * over.
     */
    private boolean endsEarly() {
        if (program == null || cluster.now() - terminatingSinceMs >= ScenarioScript.GRACE - GRACE_MARGIN_MS) {
            return false;
        }
        ReplicaStatus newest = program.status();
        long newIncarnation = newest.self().incarnation();
        for (CoreNode other : cluster.cores) {
            if (other.running() && other.program.status().viewNumber() >= newest.viewNumber()) {
                newest = other.program.status();
            }
        }
        boolean member = newest.members().stream().anyMatch(each -> each.incarnation() == newIncarnation);
        return newest.active() && member && newest.members().size() > 1;
    }

    /** The process ends at once; with {@code power}, the machine says nothing more until it is back. */
    void kill(boolean power) {
        if (machine == null) {
            return;
        }
        cluster.disturb();
        cluster.note(name, power ? "power lost" : "killed");
        if (power) {
            poweredOff = true;
            cluster.simulation.network().vanish(address);
        }
        cluster.simulation.kill(machine);
        store.crash();
        machine = null;
        program = null;
        frozen = false;
    }

    /** The grace after SIGTERM is over. */
    void graceOver(int which, boolean power) {
        if (which == processNumber && machine != null) {
            cluster.cutShort++;
            kill(power);
        }
    }

    /** SIGTERM. */
    void terminate() {
        if (running()) {
            cluster.disturb();
            cluster.note(name, "SIGTERM");
            terminating = true;
            terminatingSinceMs = cluster.now();
            SimulatedControlPlane leaving = program;
            machine.loop().execute(leaving::leave);
        }
    }

    void freeze(boolean still) {
        if (machine == null || frozen == still) {
            return;
        }
        cluster.disturb();
        cluster.note(name, still ? "frozen" : "thawed");
        frozen = still;
        if (still) {
            cluster.simulation.freeze(machine);
        } else {
            cluster.simulation.thaw(machine);
        }
    }

    /** Puts on the timeline what it is in the core, where that has changed. */
    void noteRole() {
        String role = running() ? role() : "";
        if (!role.equals(notedRole)) {
            notedRole = role;
            if (!role.isEmpty()) {
                cluster.note(name, role);
            }
        }
    }

    private String role() {
        ReplicaStatus status = program.status();
        String standing = status.isLeader() && status.active()
                ? "leads"
                : status.role().toString().toLowerCase(Locale.ROOT);
        return standing + " view " + status.viewNumber() + (program.mayAct() ? ", helm" : "");
    }

    /** The disk is lost with the power. */
    void wipe() {
        kill(true);
        cluster.note(name, "disk lost");
        disk = new SimulatedStore.SimulatedDisk(cluster.syncMs);
    }
}
