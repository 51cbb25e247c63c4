package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/**
 * How long a member of three that was away for so many changes takes from the start of its process until it is in the
 * view again with all that was acknowledged, and how many bytes go to it: in simulated ms, with all its links at one
 * rate. Printed; the bounds on time are wide. The state is as large as one change, as a configuration that replaces
 * another is.
 */
class CatchUpTest {
    private static final int FAST_BYTES_PER_MS = 125_000;
    private static final int SLOW_BYTES_PER_MS = 250;
    private static final int CHANGE_INTERVAL_MS = 20;
    /** Bytes besides the state itself: what is remembered of each change, frames of the view change, knocks. */
    private static final int OVERHEAD_BYTES = 48 << 10;

    private record Case(int changes, int changeBytes, int linkBytesPerMs, int changeIntervalMs, long maxMs) {}

    private static final List<Case> CASES = List.of(
            new Case(500, 1 << 10, FAST_BYTES_PER_MS, 0, 2_000), new Case(500, 1 << 10, SLOW_BYTES_PER_MS, 0, 4_000),
            new Case(500, 256 << 10, FAST_BYTES_PER_MS, 0, 2_000), new Case(500, 256 << 10, SLOW_BYTES_PER_MS, 0, 10_000),
            new Case(2000, 1 << 10, FAST_BYTES_PER_MS, 0, 2_000), new Case(2000, 1 << 10, SLOW_BYTES_PER_MS, 0, 4_000),
            new Case(2000, 256 << 10, FAST_BYTES_PER_MS, 0, 2_000), new Case(2000, 256 << 10, SLOW_BYTES_PER_MS, 0, 10_000),
            new Case(500, 1 << 10, FAST_BYTES_PER_MS, 500, 3_000), new Case(500, 1 << 10, SLOW_BYTES_PER_MS, 500, 6_000),
            new Case(500, 256 << 10, FAST_BYTES_PER_MS, 2_500, 3_000), new Case(500, 256 << 10, SLOW_BYTES_PER_MS, 2_500, 20_000));

    @Test
    void aMemberThatMissedHundredsOfChangesRejoinsInTime() {
        System.out.println(
                "| changes missed | bytes each | link, Mbit/s | changes meanwhile | back in the view, s | bytes to it, kB |");
        System.out.println("| ---: | ---: | ---: | --- | ---: | ---: |");
        for (Case one : CASES) {
            run(one);
        }
    }

    private void run(Case one) {
        ReplicationTestCluster core = new ReplicationTestCluster(List.of("a", "b", "c"));
        SimulatedReplicas world = core.world;
        core.found();
        world.changePadding = "p".repeat(one.changeBytes());
        world.snapshotPadding = "b".repeat(one.changeBytes());
        SimulatedReplica away = world.nodes.get("c");
        away.kill(true);
        world.runUntil(world.now + 1500);
        for (int i = 0; i < one.changes(); i++) {
            world.ruleChecker.propose(world.leader());
            world.runUntil(world.now + CHANGE_INTERVAL_MS);
        }
        world.runUntil(world.now + 1000);
        assertTrue(
                world.ruleChecker.acknowledged.size() == one.changes(),
                "acknowledged " + world.ruleChecker.acknowledged.size());
        for (String other : List.of("a", "b")) {
            world.setBandwidth("c", other, one.linkBytesPerMs());
        }
        long before = bytesSentToRestarted(world);
        long begin = world.now;
        long next = begin + 100;
        away.start();
        while (!hasCaughtUp(world, away)) {
            assertTrue(world.now - begin < one.maxMs(), one + ": not back");
            world.runUntil(world.now + 10);
            if (one.changeIntervalMs() > 0 && world.now >= next && world.leader() != null) {
                world.ruleChecker.propose(world.leader());
                next += one.changeIntervalMs();
            }
        }
        long bytes = bytesSentToRestarted(world) - before;
        long most = one.changeIntervalMs() > 0 ? 4L * one.changeBytes() + OVERHEAD_BYTES : one.changeBytes() + OVERHEAD_BYTES;
        assertTrue(bytes < most, one + ": bytes " + bytes);
        System.out.printf(
                Locale.ROOT,
                "| %d | %d kB | %d | %s | %.2f | %d |%n",
                one.changes(),
                one.changeBytes() >> 10,
                one.linkBytesPerMs() / 125,
                one.changeIntervalMs() == 0 ? "none" : "every " + one.changeIntervalMs() / 1000.0 + " s",
                (world.now - begin) / 1000.0,
                bytes >> 10);
    }

    private static boolean hasCaughtUp(SimulatedReplicas world, SimulatedReplica away) {
        if (away.replica.status().role() != ReplicaRole.MEMBER
                || !away.replica.status().active()) {
            return false;
        }
        return away.state.containsAll(world.ruleChecker.acknowledged);
    }

    private static long bytesSentToRestarted(SimulatedReplicas world) {
        return world.link("a", "c").bytes + world.link("b", "c").bytes;
    }
}
