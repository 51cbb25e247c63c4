package brambletray.platform.drill;

import brambletray.platform.controlplane.SimulatedControlPlane;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.settings.SimulatedSettings;
import brambletray.platform.storage.SimulatedStore;
import brambletray.runtime.Machine;
import java.net.InetAddress;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** One machine of the core: a disk that stays, and a process that comes and goes. */
final class CoreNode {
    /** ms before the end of the grace from which a process may end although others count on it. */
    private static final int GRACE_MARGIN_MS = 1_100;

    private final World world;
    final String name;
    final String ip;
    final InetAddress address;
    SimulatedStore.SimulatedDisk disk;
    private final boolean first;
    private boolean began;
    private Machine machine;
    private SimulatedStore store;
    private SimulatedControlPlane keep;
    private boolean frozen;
    private boolean dark;
    private boolean told;
    /** When SIGTERM came, ms of the course. */
    private long toldAt;
    /** Counts processes. */
    private int boot;

    private String notedRole = "";

    CoreNode(World world, int number, boolean first) {
        this.world = world;
        this.first = first;
        name = "core-" + number;
        ip = "10.1." + number + ".1";
        address = World.ip(10, 1, number, 1);
        disk = new SimulatedStore.SimulatedDisk(world.syncMs);
        world.listed(control());
    }

    String control() {
        return ip + ":" + World.CONTROL;
    }

    /** Whether a process is there, frozen or not. */
    boolean there() {
        return machine != null;
    }

    /** Whether it runs. */
    boolean up() {
        return machine != null && !frozen;
    }

    /** Whether its program has come up. */
    boolean running() {
        return up() && keep != null;
    }

    boolean sick() {
        return disk.refusesWrites
                || disk.syncMs > world.syncMs
                || disk.hungUntilMs
                        > TimeUnit.NANOSECONDS.toMillis(world.simulation.clock().nanos());
    }

    SimulatedControlPlane keep() {
        return keep;
    }

    int boot() {
        return boot;
    }

    void start() {
        if (machine != null) {
            return;
        }
        world.disturb();
        if (dark) {
            dark = false;
            world.simulation.network().comeBack(address);
        }
        world.note(name, "start");
        boolean initial = first && !began;
        began = true;
        told = false;
        int mine = ++boot;
        machine = world.machine(address, name);
        Machine here = machine;
        store = new SimulatedStore(disk, here, world.random.split());
        long life = world.random.nextLong() | 1;
        long origin = world.random.nextLong() | 1;
        String settings = settings(initial);
        here.loop()
                .execute(() -> keep = SimulatedControlPlane.start(
                        SimulatedSettings.of(settings),
                        here,
                        disk.read(),
                        store.store(),
                        () -> world.director.loop().execute(() -> exited(mine)),
                        life,
                        origin));
    }

    private String settings(boolean initial) {
        return "node-name=" + name + "\nrole=keep\nhardware-class=core\nserved-roles=control\nip-address=" + ip
                + "\nzone=z1\nregion=r\nzones.z1=r"
                + "\nbind-addresses.control-plane=" + control() + "\ninternal-port-range=7400,7415\nseed-peers="
                + world.seeds()
                + "\ninitial-start="
                + initial + "\nloss-counted=true\nfault-tolerance.machine-losses=" + world.script.losses()
                + "\ncloud-api.address=10.200.0.1:" + World.PLATFORM
                + "\ncloud-api.rate-per-s=4\ncloud-api.lag-ms=800\ncloud-api.duty-rate-s=20\n";
    }

    private void exited(int which) {
        if (which == boot && machine != null) {
            world.note(name, "ends by itself");
            if (told && endsEarly()) {
                world.whenLeftEarly.accept(name + " ended " + (world.now() - toldAt)
                        + " ms after SIGTERM, a member of the newest view in force");
            }
            kill(false);
            if (told) {
                world.left++;
            } else {
                world.after(300, this::start);
            }
        }
    }

    /**
     * Whether the others still count on this process, which has been told to end: it is a member of the newest view
     * that any running
     * member knows, that view is in force and has others in it, and its time is not nearly over.
     */
    private boolean endsEarly() {
        if (keep == null || world.now() - toldAt >= Script.GRACE - GRACE_MARGIN_MS) {
            return false;
        }
        ReplicaStatus newest = keep.status();
        long life = newest.self().incarnation();
        for (CoreNode other : world.cores) {
            if (other.running() && other.keep.status().viewNumber() >= newest.viewNumber()) {
                newest = other.keep.status();
            }
        }
        boolean member = newest.members().stream().anyMatch(each -> each.incarnation() == life);
        return newest.active() && member && newest.members().size() > 1;
    }

    /** The process ends at once; with {@code power}, the machine says nothing more until it is back. */
    void kill(boolean power) {
        if (machine == null) {
            return;
        }
        world.disturb();
        world.note(name, power ? "power lost" : "killed");
        if (power) {
            dark = true;
            world.simulation.network().vanish(address);
        }
        world.simulation.kill(machine);
        store.crash();
        machine = null;
        keep = null;
        frozen = false;
    }

    /** The grace after SIGTERM is over. */
    void graceOver(int which, boolean power) {
        if (which == boot && machine != null) {
            world.cutShort++;
            kill(power);
        }
    }

    /** SIGTERM. */
    void terminate() {
        if (running()) {
            world.disturb();
            world.note(name, "SIGTERM");
            told = true;
            toldAt = world.now();
            SimulatedControlPlane leaving = keep;
            machine.loop().execute(leaving::leave);
        }
    }

    void freeze(boolean still) {
        if (machine == null || frozen == still) {
            return;
        }
        world.disturb();
        world.note(name, still ? "frozen" : "thawed");
        frozen = still;
        if (still) {
            world.simulation.freeze(machine);
        } else {
            world.simulation.thaw(machine);
        }
    }

    /** Puts on the timeline what it is in the core, where that has changed. */
    void noteRole() {
        String role = running() ? role() : "";
        if (!role.equals(notedRole)) {
            notedRole = role;
            if (!role.isEmpty()) {
                world.note(name, role);
            }
        }
    }

    private String role() {
        ReplicaStatus status = keep.status();
        String standing = status.isLeader() && status.active()
                ? "leads"
                : status.role().toString().toLowerCase(Locale.ROOT);
        return standing + " view " + status.viewNumber() + (keep.mayAct() ? ", helm" : "");
    }

    /** The disk is lost with the power. */
    void wipe() {
        kill(true);
        world.note(name, "disk lost");
        disk = new SimulatedStore.SimulatedDisk(world.syncMs);
    }
}
