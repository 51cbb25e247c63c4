package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Measures the longest pause without acknowledgements, and without confirmed reads, when a member leaves as planned,
 * returns or is replaced, and when another one is permanently lost afterwards. Scenarios are seeded. {@code
 * -Dleave.seeds=N} runs N scenarios of each kind (200 for the figures in docs/control/leaving.md), {@code
 * -Dleave.seed=S} runs one and logs its events, {@code -Dleave.measure=true} only measures and asserts no limit.
 */
class PlannedLeaveTest {
    private static final int SCENARIOS = 20;
    /** Interval of calls, which go to the running members in turn. */
    private static final int CALL_INTERVAL_MS = 10;
    /**
     * Longest time from the end of a process to its restart, and from the start of a replacement to the leave of the
     * member that it replaces.
     */
    private static final int MAX_ABSENCE_MS = 1500;
    /** Time after its return for which a machine still counts as lost; a second loss follows right after it. */
    private static final int SYNC_MS = 4000;

    /** A planned leave must pause for less than this. */
    private static final int MAX_PLANNED_PAUSE_MS = 100;

    /** What happens to the first node. */
    private enum Disruption {
        KILLED,
        LEAVES,
        REPLACED,
        REPLACED_THEN_LOSS
    }

    /** One scenario: nodes with constant calls, and the longest pauses without a response. */
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

        Scenario(long seed, int machines, boolean logsEvents) {
            random = new Random(seed);
            world = new SimulatedReplicas(seed, ReplicationSettings.defaults(machines / 2));
            world.logsEvents = logsEvents;
            List<String> seeds = List.of("a", "b", "c");
            for (int i = 0; i < machines; i++) {
                SimulatedReplica node = world.node(String.valueOf((char) ('a' + i)), seeds);
                node.initialStart = true;
                live.add(node);
            }
            live.forEach(SimulatedReplica::start);
            world.runUntilTrue(() -> allInOneView(machines), 8000, "all nodes in the first view");
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

        /** Issues calls for {@code durationMs}. */
        void run(long durationMs) {
            long end = world.now + durationMs;
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

        /** Starts a planned leave, as SIGTERM does, and kills the process once it may terminate. */
        void leave(SimulatedReplica node) {
            node.replica.leave(world.now);
            killOnceItMayTerminate(node, node.processNumber);
        }

        private void killOnceItMayTerminate(SimulatedReplica node, int processNumber) {
            world.schedule(world.now + 50, () -> {
                if (node.processNumber != processNumber || !node.isRunning()) {
                    return;
                }
                if (node.replica.mayTerminate()) {
                    node.kill(false);
                } else {
                    killOnceItMayTerminate(node, processNumber);
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

        void addNode(int delayMs) {
            SimulatedReplica newcomer = world.node("n" + live.size() + world.nodes.size(), List.of("a", "b", "c"));
            live.add(newcomer);
            world.schedule(world.now + delayMs, newcomer::start);
        }

        /** Longest pauses in ms: acknowledgements and reads during the disruption, then both after it. */
        long[] run(Disruption disruption) {
            int machines = live.size();
            SimulatedReplica first = leaderOrOtherNode();
            long[] pauses = new long[4];
            if (disruption == Disruption.REPLACED || disruption == Disruption.REPLACED_THEN_LOSS) {
                addNode(0);
                run(random.nextInt(MAX_ABSENCE_MS));
                leave(first);
                run(SYNC_MS);
                live.remove(first);
                world.runUntilTrue(() -> allInOneView(machines), 1, "the replacement has joined within sync-s");
            } else if (disruption == Disruption.LEAVES) {
                leave(first);
                run(MAX_ABSENCE_MS);
            } else {
                first.kill(false);
                run(MAX_ABSENCE_MS);
            }
            pauses[0] = longestAckPauseMs;
            pauses[1] = longestReadPauseMs;
            resetPauses();
            if (disruption == Disruption.REPLACED_THEN_LOSS) {
                SimulatedReplica second = leaderOrOtherNode();
                second.kill(true);
                second.wipe();
                live.remove(second);
                addNode(1000);
                run(SYNC_MS);
                world.runUntilTrue(() -> allInOneView(machines), 1000, "all nodes in one view after a second loss");
            } else if (live.contains(first)) {
                if (first.isRunning()) {
                    first.kill(false);
                }
                first.start();
                run(SYNC_MS);
                world.runUntilTrue(() -> allInOneView(machines), 1, "the first node has rejoined within sync-s");
            }
            pauses[2] = longestAckPauseMs;
            pauses[3] = longestReadPauseMs;
            world.runUntil(world.now + 500);
            world.ruleChecker.checkFinalState(live);
            return pauses;
        }
    }

    @Test
    void aPlannedLeavePausesForLessThan100Ms() {
        int scenarios = Integer.getInteger("leave.seeds", SCENARIOS);
        List<String> violations = new ArrayList<>();
        Long onlySeed = Long.getLong("leave.seed");
        for (int machines = 3; machines <= 5; machines += 2) {
            for (Disruption disruption : Disruption.values()) {
                List<List<Long>> pauses =
                        List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
                for (long seed = onlySeed == null ? 1 : onlySeed;
                        seed <= (onlySeed == null ? scenarios : onlySeed);
                        seed++) {
                    Scenario scenario = new Scenario(seed, machines, onlySeed != null);
                    try {
                        long[] scenarioPauses = scenario.run(disruption);
                        for (int i = 0; i < scenarioPauses.length; i++) {
                            pauses.get(i).add(scenarioPauses[i]);
                        }
                        if (disruption != Disruption.KILLED
                                && Math.max(scenarioPauses[0], scenarioPauses[1]) >= MAX_PLANNED_PAUSE_MS) {
                            violations.add(machines + " " + disruption + " seed " + seed + ": ack " + scenarioPauses[0]
                                    + ", read " + scenarioPauses[1]);
                        }
                    } catch (AssertionError | RuntimeException e) {
                        scenario.world.events.forEach(System.out::println);
                        throw new AssertionError(
                                machines + " " + disruption + " seed " + seed + ": " + e.getMessage(), e);
                    }
                    if (onlySeed != null) {
                        scenario.world.events.forEach(System.out::println);
                    }
                }
                System.out.println("leave: " + machines + " " + disruption + " (50 %, 99 %, worst; ms): ack "
                        + percentiles(pauses.get(0))
                        + ", read " + percentiles(pauses.get(1)) + "; afterwards: ack " + percentiles(pauses.get(2))
                        + ", read "
                        + percentiles(pauses.get(3)));
            }
        }
        if (!Boolean.getBoolean("leave.measure")) {
            assertTrue(
                    violations.isEmpty(),
                    () -> "planned leaves paused for " + MAX_PLANNED_PAUSE_MS + " ms or more: " + violations);
        }
    }

    private static String percentiles(List<Long> all) {
        Collections.sort(all);
        return all.get(all.size() / 2) + " " + all.get(Math.min(all.size() - 1, all.size() * 99 / 100)) + " "
                + all.get(all.size() - 1);
    }
}
