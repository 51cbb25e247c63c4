package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * How long nothing is acknowledged, and no read is confirmed, when a member leaves as planned, comes back, is
 * replaced, and when another is lost for good after that: seeded scenarios, the longest stretch of each. {@code
 * -Dleave.seeds=N} plays N scenarios of each kind (200 for the figures of docs/control/leaving.md), {@code
 * -Dleave.seed=S} one and tells; {@code -Dleave.measure=true} measures and holds nothing.
 */
class PlannedLeaveTest {
    private static final int SCENARIOS = 20;
    /** ms between two calls, in turn at all members that are up. */
    private static final int CALL_INTERVAL_MS = 10;
    /**
     * ms from the end of a process to its next start, and from the start of a replacement to when the leaver is told:
     * at most.
     */
    private static final int MAX_ABSENCE_MS = 1500;
    /** A machine counts as lost until so long, in ms, after its return; a second loss comes right after. */
    private static final int SYNC_MS = 4000;

    /** A planned leave pauses for less than this, ms. */
    private static final int MAX_PLANNED_PAUSE_MS = 100;

    /** What happens to the first machine. */
    private enum Disruption {
        KILLED,
        LEAVES,
        REPLACED,
        REPLACED_THEN_LOSS
    }

    /** One scenario: machines, calls all the time, the longest stretches without an answer. */
    private static final class Scenario {
        final SimulatedReplicas world;
        final Random random;
        final List<SimulatedReplica> live = new ArrayList<>();
        int calls;
        long lastAckAtMs;
        long lastReadAtMs;
        int ackCount;
        int readCount;
        long longestAckPauseMs;
        long longestReadPauseMs;

        Scenario(long seed, int machines, boolean talks) {
            random = new Random(seed);
            world = new SimulatedReplicas(seed, ReplicationSettings.defaults(machines / 2));
            world.logsEvents = talks;
            List<String> seeds = List.of("a", "b", "c");
            for (int i = 0; i < machines; i++) {
                SimulatedReplica node = world.node(String.valueOf((char) ('a' + i)), seeds);
                node.initialStart = true;
                live.add(node);
            }
            live.forEach(SimulatedReplica::start);
            world.runUntilTrue(() -> allInOneView(machines), 8000, "founding");
            live.forEach(node -> node.initialStart = false);
            run(300);
            resetPauses();
        }

        boolean allInOneView(int machines) {
            SimulatedReplica leader = world.leader();
            return leader != null
                    && leader.replica.status().members().size() == machines
                    && live.stream()
                            .allMatch(node ->
                                    node.isRunning() && node.replica.status().role() == ReplicaRole.MEMBER);
        }

        /** Calls for so long. */
        void run(long span) {
            long end = world.now + span;
            while (world.now < end) {
                if (world.now % CALL_INTERVAL_MS == 0) {
                    call();
                }
                world.runUntil(world.now + 1);
                recordPauses();
            }
        }

        private void call() {
            SimulatedReplica node = live.get(++calls % live.size());
            if (!node.isRunning()) {
                return;
            }
            world.ruleChecker.propose(node);
            world.ruleChecker.requestReadIndex(node);
        }

        private void recordPauses() {
            if (world.ruleChecker.acknowledged.size() > ackCount) {
                lastAckAtMs = world.now;
            }
            if (world.ruleChecker.confirmedReads > readCount) {
                lastReadAtMs = world.now;
            }
            ackCount = world.ruleChecker.acknowledged.size();
            readCount = world.ruleChecker.confirmedReads;
            longestAckPauseMs = Math.max(longestAckPauseMs, world.now - lastAckAtMs);
            longestReadPauseMs = Math.max(longestReadPauseMs, world.now - lastReadAtMs);
        }

        void resetPauses() {
            lastAckAtMs = world.now;
            lastReadAtMs = world.now;
            longestAckPauseMs = 0;
            longestReadPauseMs = 0;
        }

        /** SIGTERM, and the end of the process. */
        void leave(SimulatedReplica node) {
            node.replica.leave(world.now);
            killOnceItMayTerminate(node, node.processNumber);
        }

        private void killOnceItMayTerminate(SimulatedReplica node, int boot) {
            world.schedule(world.now + 50, () -> {
                if (node.processNumber != boot || !node.isRunning()) {
                    return;
                }
                if (node.replica.mayTerminate()) {
                    node.kill(false);
                } else {
                    killOnceItMayTerminate(node, boot);
                }
            });
        }

        SimulatedReplica leaderOrOtherNode() {
            SimulatedReplica leader = world.leader();
            if (random.nextBoolean()) {
                return leader;
            }
            return live.stream().filter(node -> node != leader).toList().get(random.nextInt(live.size() - 1));
        }

        void addNode(int in) {
            SimulatedReplica next = world.node("n" + live.size() + world.nodes.size(), List.of("a", "b", "c"));
            live.add(next);
            world.schedule(world.now + in, next::start);
        }

        /** Stretches of the fault and of the return: acknowledgement, read, acknowledgement, read. */
        long[] run(Disruption fault) {
            int machines = live.size();
            SimulatedReplica first = leaderOrOtherNode();
            long[] all = new long[4];
            if (fault == Disruption.REPLACED || fault == Disruption.REPLACED_THEN_LOSS) {
                addNode(0);
                run(random.nextInt(MAX_ABSENCE_MS));
                leave(first);
                run(SYNC_MS);
                live.remove(first);
                world.runUntilTrue(() -> allInOneView(machines), 1, "the replacement is in after sync-s");
            } else if (fault == Disruption.LEAVES) {
                leave(first);
                run(MAX_ABSENCE_MS);
            } else {
                first.kill(false);
                run(MAX_ABSENCE_MS);
            }
            all[0] = longestAckPauseMs;
            all[1] = longestReadPauseMs;
            resetPauses();
            if (fault == Disruption.REPLACED_THEN_LOSS) {
                SimulatedReplica second = leaderOrOtherNode();
                second.kill(true);
                second.wipe();
                live.remove(second);
                addNode(1000);
                run(SYNC_MS);
                world.runUntilTrue(() -> allInOneView(machines), 1000, "after a second loss");
            } else if (live.contains(first)) {
                if (first.isRunning()) {
                    first.kill(false);
                }
                first.start();
                run(SYNC_MS);
                world.runUntilTrue(() -> allInOneView(machines), 1, "back after sync-s");
            }
            all[2] = longestAckPauseMs;
            all[3] = longestReadPauseMs;
            world.runUntil(world.now + 500);
            world.ruleChecker.checkFinalState(live);
            return all;
        }
    }

    @Test
    void aPlannedLeavePausesForLessThan100Ms() {
        int scenarios = Integer.getInteger("leave.seeds", SCENARIOS);
        List<String> broken = new ArrayList<>();
        Long only = Long.getLong("leave.seed");
        for (int machines = 3; machines <= 5; machines += 2) {
            for (Disruption fault : Disruption.values()) {
                List<List<Long>> stretches =
                        List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
                for (long seed = only == null ? 1 : only; seed <= (only == null ? scenarios : only); seed++) {
                    Scenario scenario = new Scenario(seed, machines, only != null);
                    try {
                        long[] some = scenario.run(fault);
                        for (int i = 0; i < some.length; i++) {
                            stretches.get(i).add(some[i]);
                        }
                        if (fault != Disruption.KILLED && Math.max(some[0], some[1]) >= MAX_PLANNED_PAUSE_MS) {
                            broken.add(machines + " " + fault + " seed " + seed + ": ack " + some[0] + ", read "
                                    + some[1]);
                        }
                    } catch (AssertionError | RuntimeException e) {
                        scenario.world.events.forEach(System.out::println);
                        throw new AssertionError(machines + " " + fault + " seed " + seed + ": " + e.getMessage(), e);
                    }
                    if (only != null) {
                        scenario.world.events.forEach(System.out::println);
                    }
                }
                System.out.println("leave: " + machines + " " + fault + " (50 %, 99 %, worst; ms): ack "
                        + percentiles(stretches.get(0))
                        + ", read " + percentiles(stretches.get(1)) + "; after it: ack " + percentiles(stretches.get(2))
                        + ", read "
                        + percentiles(stretches.get(3)));
            }
        }
        if (!Boolean.getBoolean("leave.measure")) {
            assertTrue(broken.isEmpty(), () -> "paused for too long: " + broken);
        }
    }

    private static String percentiles(List<Long> all) {
        Collections.sort(all);
        return all.get(all.size() / 2) + " " + all.get(Math.min(all.size() - 1, all.size() * 99 / 100)) + " "
                + all.get(all.size() - 1);
    }
}
