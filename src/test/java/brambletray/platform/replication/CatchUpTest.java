package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/**
 * Measures how long a member of three that missed many changes takes from the start of its process until it is back in
 * the view with all acknowledged changes, and how many bytes are sent to it. Times are simulated, and all its links
 * have the same rate. The results are printed; the time limits are generous. The state is as large as one change,
 * because a change replaces the whole configuration.
 */
class CatchUpTest {
    private static final int FAST_BYTES_PER_MS = 125_000;
    private static final int SLOW_BYTES_PER_MS = 250;
    private static final int CHANGE_INTERVAL_MS = 20;
    /** Bytes in addition to the state: metadata of the changes, messages of the view change, join requests. */
    private static final int OVERHEAD_BYTES = 48 << 10;

    private record Case(int changes, int changeBytes, int linkBytesPerMs, int changeIntervalMs, long maxMs) {}

    private static final List<Case> CASES = List.of(
            new Case(500, 1 << 10, FAST_BYTES_PER_MS, 0, 2_000), new Case(500, 1 << 10, SLOW_BYTES_PER_MS, 0, 4_000),
            new Case(500, 256 << 10, FAST_BYTES_PER_MS, 0, 2_000),
                    new Case(500, 256 << 10, SLOW_BYTES_PER_MS, 0, 10_000),
            new Case(2000, 1 << 10, FAST_BYTES_PER_MS, 0, 2_000), new Case(2000, 1 << 10, SLOW_BYTES_PER_MS, 0, 4_000),
            new Case(2000, 256 << 10, FAST_BYTES_PER_MS, 0, 2_000),
                    new Case(2000, 256 << 10, SLOW_BYTES_PER_MS, 0, 10_000),
            new Case(500, 1 << 10, FAST_BYTES_PER_MS, 500, 3_000),
                    new Case(500, 1 << 10, SLOW_BYTES_PER_MS, 500, 6_000),
            new Case(500, 256 << 10, FAST_BYTES_PER_MS, 2_500, 3_000),
                    new Case(500, 256 << 10, SLOW_BYTES_PER_MS, 2_500, 20_000));

    @Test
    void aMemberThatMissedHundredsOfChangesRejoinsInTime() {
        System.out.println(
                "| changes missed | bytes each | link, Mbit/s | changes meanwhile | back in the view, s | bytes to it, kB |");
        System.out.println("| ---: | ---: | ---: | --- | ---: | ---: |");
        for (Case testCase : CASES) {
            run(testCase);
        }
    }

    private void run(Case testCase) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of("a", "b", "c"));
        SimulatedReplicas world = core.world;
        core.found();
        world.changePadding = "p".repeat(testCase.changeBytes());
        world.snapshotPadding = "b".repeat(testCase.changeBytes());
        SimulatedReplica restarted = world.nodes.get("c");
        restarted.kill(true);
        world.runUntil(world.now + 1500);
        for (int i = 0; i < testCase.changes(); i++) {
            world.ruleChecker.propose(world.leader());
            world.runUntil(world.now + CHANGE_INTERVAL_MS);
        }
        world.runUntil(world.now + 1000);
        assertTrue(
                world.ruleChecker.acknowledged.size() == testCase.changes(),
                "acknowledged changes: " + world.ruleChecker.acknowledged.size());
        for (String other : List.of("a", "b")) {
            world.setBandwidth("c", other, testCase.linkBytesPerMs());
        }
        long bytesBefore = bytesSentToRestarted(world);
        long startedAtMs = world.now;
        long nextChangeAtMs = startedAtMs + 100;
        restarted.start();
        while (!hasCaughtUp(world, restarted)) {
            assertTrue(
                    world.now - startedAtMs < testCase.maxMs(),
                    testCase + ": not back in the view within " + testCase.maxMs() + " ms");
            world.runUntil(world.now + 10);
            if (testCase.changeIntervalMs() > 0 && world.now >= nextChangeAtMs && world.leader() != null) {
                world.ruleChecker.propose(world.leader());
                nextChangeAtMs += testCase.changeIntervalMs();
            }
        }
        long bytes = bytesSentToRestarted(world) - bytesBefore;
        long maxBytes = testCase.changeIntervalMs() > 0
                ? 4L * testCase.changeBytes() + OVERHEAD_BYTES
                : testCase.changeBytes() + OVERHEAD_BYTES;
        assertTrue(bytes < maxBytes, testCase + ": bytes " + bytes);
        System.out.printf(
                Locale.ROOT,
                "| %d | %d kB | %d | %s | %.2f | %d |%n",
                testCase.changes(),
                testCase.changeBytes() >> 10,
                testCase.linkBytesPerMs() / 125,
                testCase.changeIntervalMs() == 0 ? "none" : "every " + testCase.changeIntervalMs() / 1000.0 + " s",
                (world.now - startedAtMs) / 1000.0,
                bytes >> 10);
    }

    private static boolean hasCaughtUp(SimulatedReplicas world, SimulatedReplica restarted) {
        if (restarted.replica.status().role() != ReplicaRole.MEMBER
                || !restarted.replica.status().active()) {
            return false;
        }
        return restarted.state.containsAll(world.ruleChecker.acknowledged);
    }

    private static long bytesSentToRestarted(SimulatedReplicas world) {
        return world.link("a", "c").bytes + world.link("b", "c").bytes;
    }
}
