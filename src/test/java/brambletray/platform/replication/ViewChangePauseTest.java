package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * The longest pauses of a core amid fault, as its callers meet them: eight operators, each with one order under way
 * (sent again elsewhere after a second of silence, and 100 ms after each answer the next), and a reader that asks
 * everywhere every 25 ms. {@code -Dpauses.seeds=N} plays more scenarios of each kind, {@code -Dpauses.first=S} begins
 * at that seed; the figures are printed, in simulated ms. The fault begins 1 s into the scenario and lasts 20 s;
 * pauses count from its beginning to 4 s past its end.
 */
class ViewChangePauseTest {
    private static final int SEEDS = 2;
    private static final int OPERATORS = 8;
    private static final int RETRY_TIMEOUT_MS = 1_000;
    private static final int THINK_TIME_MS = 100;
    private static final int READ_INTERVAL_MS = 25;
    private static final int STEP_MS = 5;
    private static final int FAULT_MS = 20_000;
    private static final int AFTER_MS = 4_000;
    /** The smallest ack-ms of the deployments, ms. */
    private static final int ACK_MS = 5_000;

    private enum Fault {
        CUT,
        KILLED,
        FROZEN,
        SLOW_DISK
    }

    /** Longest pauses of one scenario, ms: without an acknowledgement, without a confirmed read. */
    private record Pauses(long acks, long reads) {}

    private final class ScenarioRun {
        private final Random random;
        private final SimulatedReplicas world;
        private final SimulatedReplica[] nodes;
        private final long[] token = new long[OPERATORS];
        private final long[] since = new long[OPERATORS];

        ScenarioRun(long seed, int machines) {
            random = new Random(seed);
            world = new SimulatedReplicas(seed, ReplicationSettings.defaults(1));
            nodes = new SimulatedReplica[machines];
            for (int i = 0; i < machines; i++) {
                nodes[i] = world.node(String.valueOf((char) ('a' + i)), List.of("a", "b", "c"));
                nodes[i].initialStart = true;
            }
            for (SimulatedReplica node : nodes) {
                world.schedule(world.now + random.nextInt(300), node::start);
            }
            world.runUntil(world.now + 400);
            world.runUntilTrue(this::allAreMembers, 20_000, "all in one view");
            for (SimulatedReplica node : nodes) {
                node.initialStart = false;
            }
        }

        private boolean allAreMembers() {
            SimulatedReplica leader = world.leader();
            if (leader == null || leader.replica.status().members().size() < nodes.length) {
                return false;
            }
            return Arrays.stream(nodes).allMatch(node -> node.replica.status().role() == ReplicaRole.MEMBER);
        }

        Pauses run(Fault fault, boolean leader) {
            runFor(1_000, new long[2]);
            SimulatedReplica ill = world.leader();
            while (!leader && ill == world.leader()) {
                ill = nodes[random.nextInt(nodes.length)];
            }
            setFault(ill, fault, true);
            long[] worst = new long[2];
            long[] last = runFor(FAULT_MS, worst, world.now, world.now);
            setFault(ill, fault, false);
            runFor(AFTER_MS, worst, last[0], last[1]);
            return new Pauses(worst[0], worst[1]);
        }

        private void setFault(SimulatedReplica ill, Fault fault, boolean on) {
            switch (fault) {
                case CUT -> {
                    for (SimulatedReplica other : nodes) {
                        if (other != ill) {
                            world.setCut(ill.address, other.address, on);
                        }
                    }
                }
                case KILLED -> {
                    if (on) {
                        ill.kill(random.nextBoolean());
                    } else {
                        ill.start();
                    }
                }
                case FROZEN -> {
                    if (on) {
                        ill.frozenUntil = world.now + FAULT_MS;
                    }
                }
                default -> ill.disk.syncMs *= on ? 25 : 1;
            }
            if (!on) {
                ill.disk.syncMs = 5;
            }
        }

        private void runFor(long ms, long[] worst) {
            runFor(ms, worst, world.now, world.now);
        }

        /** Plays on; returns when the last acknowledgement and the last confirmed read came. */
        private long[] runFor(long ms, long[] worst, long lastAck, long lastRead) {
            long end = world.now + ms;
            int acks = world.ruleChecker.acknowledged.size();
            int reads = world.ruleChecker.confirmedReads;
            long ackAt = lastAck;
            long readAt = lastRead;
            while (world.now < end) {
                for (int i = 0; i < OPERATORS; i++) {
                    advanceOperator(i);
                }
                if (world.now % READ_INTERVAL_MS < STEP_MS) {
                    for (SimulatedReplica node : nodes) {
                        if (node.isRunning() && node.frozenUntil <= world.now) {
                            world.ruleChecker.requestReadIndex(node);
                        }
                    }
                }
                world.runUntil(world.now + STEP_MS);
                if (world.ruleChecker.acknowledged.size() > acks) {
                    ackAt = world.now;
                }
                if (world.ruleChecker.confirmedReads > reads) {
                    readAt = world.now;
                }
                acks = world.ruleChecker.acknowledged.size();
                reads = world.ruleChecker.confirmedReads;
                worst[0] = Math.max(worst[0], world.now - ackAt);
                worst[1] = Math.max(worst[1], world.now - readAt);
            }
            return new long[] {ackAt, readAt};
        }

        private void advanceOperator(int i) {
            if (world.ruleChecker.acknowledged.contains("c" + token[i])) {
                token[i] = 0;
                since[i] = world.now + THINK_TIME_MS;
            } else if (token[i] != 0 && world.now - since[i] > RETRY_TIMEOUT_MS) {
                token[i] = 0;
                since[i] = world.now;
            }
            SimulatedReplica node = nodes[random.nextInt(nodes.length)];
            if (token[i] != 0 || world.now < since[i]) {
                return;
            }
            since[i] = world.now;
            // a caller of a process that is down or asleep hears nothing
            boolean there = node.isRunning() && node.frozenUntil <= world.now;
            token[i] = there ? world.ruleChecker.propose(node) : -1;
        }
    }

    private static String percentiles(long[] sorted) {
        int n = sorted.length;
        return "50 % " + sorted[n / 2] + ", 99 % " + sorted[Math.min(n - 1, n * 99 / 100)] + ", worst " + sorted[n - 1];
    }

    @Test
    void noPauseExceedsTheAcknowledgementTimeout() {
        int seeds = Integer.getInteger("pauses.seeds", SEEDS);
        long first = Long.getLong("pauses.first", 1);
        List<String> broken = new ArrayList<>();
        for (int machines : new int[] {3, 5}) {
            for (Fault fault : Fault.values()) {
                for (boolean leader : new boolean[] {true, false}) {
                    long[] acks = new long[seeds];
                    long[] reads = new long[seeds];
                    for (int i = 0; i < seeds; i++) {
                        Pauses pauses = new ScenarioRun(first + i, machines).run(fault, leader);
                        acks[i] = pauses.acks;
                        reads[i] = pauses.reads;
                        if (pauses.acks >= ACK_MS) {
                            broken.add(machines + " members, " + fault + ", leader " + leader + ", seed " + (first + i)
                                    + ": " + pauses);
                        }
                    }
                    Arrays.sort(acks);
                    Arrays.sort(reads);
                    System.out.println("pauses: " + machines + " members, " + (leader ? "leader " : "follower ")
                            + fault + ", " + seeds + " courses: acknowledgements " + percentiles(acks) + "; reads "
                            + percentiles(reads));
                }
            }
        }
        assertTrue(broken.isEmpty(), () -> "longer than ack-ms: " + broken);
    }
}
