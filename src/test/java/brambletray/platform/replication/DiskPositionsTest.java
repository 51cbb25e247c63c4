package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Injects a fault at every disk position of one scenario. The scenario: the group is founded, changes are committed and
 * compacted, a member that lost its disk rejoins, and more changes follow. The positions: on any member, a write has
 * started, or its sync is about to return. The faults: the disk refuses writes, the process is killed, or the power is
 * lost, on that member or on all at once. No acknowledged change may be lost, and changes must be acknowledged again
 * after the fault.
 */
class DiskPositionsTest {
    private static final int WRITE_REFUSAL_MS = 1_500;
    private static final int RESTART_DELAY_MS = 300;
    private static final int RECOVERY_TIMEOUT_MS = 9_000;
    /** Size of a change; four changes of this size trigger a compaction. */
    private static final int CHANGE_BYTES = 300 << 10;

    private enum Fault {
        WRITES_REFUSED(false) {
            @Override
            void inject(SimulatedReplicas world, SimulatedReplica node) {
                refuseWrites(world, node);
            }
        },
        PROCESS_KILLED(false) {
            @Override
            void inject(SimulatedReplicas world, SimulatedReplica node) {
                killAndRestart(world, node, false);
            }
        },
        POWER_LOST(false) {
            @Override
            void inject(SimulatedReplicas world, SimulatedReplica node) {
                killAndRestart(world, node, true);
            }
        },
        ALL_WRITES_REFUSED(true) {
            @Override
            void inject(SimulatedReplicas world, SimulatedReplica node) {
                refuseWrites(world, node);
            }
        },
        ALL_PROCESSES_KILLED(true) {
            @Override
            void inject(SimulatedReplicas world, SimulatedReplica node) {
                killAndRestart(world, node, false);
            }
        },
        ALL_POWER_LOST(true) {
            @Override
            void inject(SimulatedReplicas world, SimulatedReplica node) {
                killAndRestart(world, node, true);
            }
        };

        private final boolean affectsAllNodes;

        Fault(boolean affectsAllNodes) {
            this.affectsAllNodes = affectsAllNodes;
        }

        abstract void inject(SimulatedReplicas world, SimulatedReplica node);

        void injectAt(SimulatedReplicas world, SimulatedReplica node) {
            for (SimulatedReplica target : affectsAllNodes ? List.copyOf(world.nodes.values()) : List.of(node)) {
                inject(world, target);
            }
        }

        private static void refuseWrites(SimulatedReplicas world, SimulatedReplica node) {
            node.disk.full = true;
            world.schedule(world.now + WRITE_REFUSAL_MS, () -> node.disk.full = false);
        }

        /** Kills the process and restarts it later; with {@code powerLost}, unsynced data on its disk is lost. */
        private static void killAndRestart(SimulatedReplicas world, SimulatedReplica node, boolean powerLost) {
            if (!node.isRunning()) {
                return;
            }
            node.kill(powerLost);
            int processNumber = node.processNumber;
            world.schedule(world.now + RESTART_DELAY_MS, () -> {
                if (node.processNumber == processNumber && node.down) {
                    node.start();
                }
            });
        }
    }

    /**
     * Runs the scenario with a fault at one position.
     *
     * @return the number of positions in the run
     */
    private static int runScenario(int position, Fault fault) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of("a", "b", "c"));
        SimulatedReplicas world = core.world;
        int[] positionsSeen = new int[1];
        core.found();
        world.onDiskWrite = node -> {
            if (positionsSeen[0]++ == position) {
                fault.injectAt(world, node);
            }
        };
        world.changePadding = "p".repeat(CHANGE_BYTES);
        proposeChanges(world, 6);
        SimulatedReplica wiped = world.nodes.get("c");
        if (wiped.isRunning() && world.ruleChecker.mayLoseDisk()) {
            wiped.kill(true);
            wiped.wipe();
            world.runUntil(world.now + RESTART_DELAY_MS);
            if (!wiped.isRunning()) {
                wiped.start();
            }
        }
        proposeChanges(world, 6);
        world.runUntil(world.now + WRITE_REFUSAL_MS);
        awaitRecovery(world);
        return positionsSeen[0];
    }

    private static void proposeChanges(SimulatedReplicas world, int count) {
        for (int i = 0; i < count; i++) {
            for (SimulatedReplica node : List.copyOf(world.nodes.values())) {
                if (node.isRunning() && node.replica.status().isLeader()) {
                    world.ruleChecker.propose(node);
                }
            }
            world.runUntil(world.now + 60);
        }
    }

    private static void awaitRecovery(SimulatedReplicas world) {
        world.runUntilTrue(() -> allInOneView(world), RECOVERY_TIMEOUT_MS, "all nodes in one view");
        world.changePadding = "";
        int before = world.ruleChecker.acknowledged.size();
        world.runUntilTrue(
                () -> acknowledgesNewChange(world, before),
                RECOVERY_TIMEOUT_MS,
                "a change acknowledged after the faults");
        world.runUntilTrue(() -> statesAreEqual(world), RECOVERY_TIMEOUT_MS, "equal state on all nodes");
        world.ruleChecker.checkFinalState(new ArrayList<>(world.nodes.values()));
    }

    /** Proposes again until a new change is acknowledged, like an operator whose call had no definite outcome. */
    private static boolean acknowledgesNewChange(SimulatedReplicas world, int before) {
        boolean acknowledged = world.ruleChecker.acknowledged.size() > before;
        if (!acknowledged && world.leader() != null) {
            world.ruleChecker.propose(world.leader());
        }
        return acknowledged;
    }

    private static boolean allInOneView(SimulatedReplicas world) {
        SimulatedReplica leader = world.leader();
        return leader != null
                && leader.replica.status().members().size() == world.nodes.size()
                && world.nodes.values().stream()
                        .allMatch(node ->
                                node.isRunning() && node.replica.status().role() == ReplicaRole.MEMBER);
    }

    private static boolean statesAreEqual(SimulatedReplicas world) {
        List<String> first = world.nodes.get("a").state;
        return world.nodes.values().stream().allMatch(node -> node.state.equals(first));
    }

    @Test
    void noFaultAtAnyDiskPositionLosesAcknowledgedChanges() {
        int runs = 0;
        int positions = 0;
        for (Fault fault : Fault.values()) {
            int last = 0;
            for (int position = 0; position <= last; position++) {
                try {
                    last = Math.max(last, runScenario(position, fault) - 1);
                } catch (AssertionError | RuntimeException e) {
                    throw new AssertionError(fault + " at position " + position + ": " + e.getMessage(), e);
                }
                runs++;
                if (last > 2_000) {
                    throw new AssertionError("too many positions: " + last);
                }
            }
            positions = Math.max(positions, last + 1);
        }
        System.out.println("disk positions: " + positions + ", runs " + runs);
        assertTrue(positions > 60, "too few positions: " + positions);
    }
}
