package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * One scenario of a core: founded, changed, compacted, a member that lost its disk let in again, changed on. At each
 * position of each
 * member's disk (a write has begun; its sync is about to return) one fault: the disk refuses, the process is killed,
 * the power goes, for
 * this member or for all at once. Nothing acknowledged is lost, and once all is calm changes are acknowledged again.
 */
class DiskPositionsTest {
    private static final int WRITE_REFUSAL_MS = 1_500;
    private static final int RESTART_DELAY_MS = 300;
    private static final int RECOVERY_TIMEOUT_MS = 9_000;
    /** Bytes of a change: four of them make a log be compacted. */
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

        Fault(boolean all) {
            this.affectsAllNodes = all;
        }

        abstract void inject(SimulatedReplicas world, SimulatedReplica node);

        void injectAt(SimulatedReplicas world, SimulatedReplica node) {
            for (SimulatedReplica one : affectsAllNodes ? List.copyOf(world.nodes.values()) : List.of(node)) {
                inject(world, one);
            }
        }

        private static void refuseWrites(SimulatedReplicas world, SimulatedReplica node) {
            node.disk.full = true;
            world.schedule(world.now + WRITE_REFUSAL_MS, () -> node.disk.full = false);
        }

        /** Ends the process, and starts it again; with {@code power}, what its disk hadn't synced is gone. */
        private static void killAndRestart(SimulatedReplicas world, SimulatedReplica node, boolean power) {
            if (!node.isRunning()) {
                return;
            }
            node.kill(power);
            int boot = node.processNumber;
            world.schedule(world.now + RESTART_DELAY_MS, () -> {
                if (node.processNumber == boot && node.down) {
                    node.start();
                }
            });
        }
    }

    /** Plays the scenario with a fault at one position; returns how many positions there were. */
    private static int runScenario(int position, Fault fault) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of("a", "b", "c"));
        SimulatedReplicas world = core.world;
        int[] seen = new int[1];
        core.found();
        world.onDiskWrite = node -> {
            if (seen[0]++ == position) {
                fault.injectAt(world, node);
            }
        };
        world.changePadding = "p".repeat(CHANGE_BYTES);
        proposeChanges(world, 6);
        SimulatedReplica empty = world.nodes.get("c");
        if (empty.isRunning() && world.ruleChecker.mayLoseDisk()) {
            empty.kill(true);
            empty.wipe();
            world.runUntil(world.now + RESTART_DELAY_MS);
            if (!empty.isRunning()) {
                empty.start();
            }
        }
        proposeChanges(world, 6);
        world.runUntil(world.now + WRITE_REFUSAL_MS);
        awaitRecovery(world);
        return seen[0];
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
        world.runUntilTrue(() -> allInOneView(world), RECOVERY_TIMEOUT_MS, "all in one view");
        world.changePadding = "";
        int before = world.ruleChecker.acknowledged.size();
        world.runUntilTrue(() -> acknowledgesNewChange(world, before), RECOVERY_TIMEOUT_MS, "a change after all is calm");
        world.runUntilTrue(() -> statesAreEqual(world), RECOVERY_TIMEOUT_MS, "all alike");
        world.ruleChecker.checkFinalState(new ArrayList<>(world.nodes.values()));
    }

    /** Proposes once more, as an operator does whose call had no clear answer. */
    private static boolean acknowledgesNewChange(SimulatedReplicas world, int before) {
        boolean done = world.ruleChecker.acknowledged.size() > before;
        if (!done && world.leader() != null) {
            world.ruleChecker.propose(world.leader());
        }
        return done;
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
        int plays = 0;
        int positions = 0;
        for (Fault fault : Fault.values()) {
            int last = 0;
            for (int position = 0; position <= last; position++) {
                try {
                    last = Math.max(last, runScenario(position, fault) - 1);
                } catch (AssertionError | RuntimeException e) {
                    throw new AssertionError(fault + " at position " + position + ": " + e.getMessage(), e);
                }
                plays++;
                if (last > 2_000) {
                    throw new AssertionError("too many positions: " + last);
                }
            }
            positions = Math.max(positions, last + 1);
        }
        System.out.println("disk positions: " + positions + ", plays " + plays);
        assertTrue(positions > 60, "few positions: " + positions);
    }
}
