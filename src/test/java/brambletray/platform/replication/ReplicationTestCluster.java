package brambletray.platform.replication;

import java.util.List;

/** A core in simulated time that has been founded and is at rest, without any chance in it: the first machine leads. */
public final class ReplicationTestCluster {
    public final SimulatedReplicas world;

    /** Machines founded together; the first three are the seeds. */
    public ReplicationTestCluster(List<String> names) {
        this(names, FaultTolerance.ofMachines(1));
    }

    /** The same; {@code a/z} stands in zone z. */
    ReplicationTestCluster(List<String> names, FaultTolerance tolerance) {
        world = new SimulatedReplicas(1, ReplicationSettings.defaults(tolerance, 5000));
        world.jitter = false;
        List<String> seeds = names.subList(0, Math.min(3, names.size())).stream()
                .map(ReplicationTestCluster::address)
                .toList();
        for (String name : names) {
            addMachine(name, seeds).initialStart = true;
        }
    }

    private static String address(String name) {
        return name.replaceAll("/.*", "");
    }

    private SimulatedReplica addMachine(String name, List<String> seeds) {
        SimulatedReplica node = world.node(address(name), seeds);
        node.zone = name.substring(Math.min(name.length(), address(name).length() + 1));
        return node;
    }

    /** Starts and waits until all are in. */
    public void found() {
        world.nodes.values().forEach(SimulatedReplica::start);
        world.runUntilTrue(
                () -> {
                    SimulatedReplica leader = world.leader();
                    return leader != null
                            && leader.replica.status().members().size() == world.nodes.size()
                            && world.nodes.values().stream()
                                    .allMatch(node -> node.replica.status().role() == ReplicaRole.MEMBER);
                },
                5000,
                "founding");
        world.nodes.values().forEach(node -> node.initialStart = false);
        world.runUntil(world.now + 500);
    }

    /** A machine that isn't there yet, told these seeds. */
    public void addSpare(String name, List<String> seeds) {
        addMachine(name, seeds);
    }
}
