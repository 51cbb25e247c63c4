package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.operations.ClaimGranted;
import brambletray.platform.operations.ClaimId;
import brambletray.platform.operations.ClaimRequest;
import brambletray.platform.operations.ClaimWindow;
import brambletray.platform.operations.OperationIdentity;
import brambletray.platform.replication.ReplicationTestCluster;
import brambletray.platform.replication.SimulatedReplica;
import brambletray.platform.replication.SimulatedReplicas;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What claims cost in simulated time, at three members with links of 2 to 4 ms and syncs of 5 to 7 ms: how long edges
 * wait for them, how long operators wait for a change meanwhile, and what is written. Prints what it measures.
 */
class OperationLatencyTest {
    private static final int CLAIMS_PER_S = 170;
    private static final int CHANGE_EVERY_MS = 500;
    /** {@code -Doperations.latency-ms=N} plays longer; from 70 s on, claims end as others are made. */
    private static final int DURATION_MS = Integer.getInteger("operations.latency-ms", 30_000);

    private static final int WARM_UP_MS = 5_000;
    /** What an edge waits for a claim at least. */
    private static final int SHORTEST_EDGE_WAIT_MS = 40;

    private static final int MAX_SLOWDOWN_MS = 10;

    private static final KeyDigest CREDENTIAL = KeyDigest.of("secret");
    private static final double KEY_WINDOW_S = 60;
    private static final int FAST_DISK = 0;

    private final Random random = new Random(1);
    private final ReplicationTestCluster cluster = new ReplicationTestCluster(List.of("a", "b", "c"));
    private final SimulatedReplicas world = cluster.world;
    private final Map<ClaimId, Long> waitingClaims = new HashMap<>();
    private final Map<String, Long> waitingChanges = new HashMap<>();
    private final List<Integer> claimMs = new ArrayList<>();
    private final List<Integer> changeMs = new ArrayList<>();
    private long batches;
    private long batchBytes;

    private void found(int bytesPerMs) {
        world.applications = (node, origin) -> new SimulatedCoreMember(
                node, origin, origin >>> 20, ClaimWindow.claimDurationMs(KEY_WINDOW_S), new Edges());
        cluster.found();
        world.jitter = true;
        world.nodes.values().forEach(node -> node.disk.bytesPerMs = bytesPerMs);
    }

    /** Claims come at this member, changes at the leader. */
    private void play(SimulatedReplica coordinator, int claimsPerS) {
        long end = world.now + DURATION_MS;
        long countFrom = world.now + WARM_UP_MS;
        long nextChange = world.now;
        long sequence = 0;
        while (world.now < end) {
            for (double due = claimsPerS / 1_000.0; random.nextDouble() < due; due--) {
                ClaimId claim = new ClaimId(1, ++sequence);
                waitingClaims.put(claim, world.now);
                OperationIdentity operation = OperationIdentity.of("t", CREDENTIAL, "k" + sequence);
                SimulatedCoreMember.of(coordinator).claims.onClaim("edge-name-1", new ClaimRequest(claim, operation));
            }
            if (world.now >= nextChange) {
                nextChange += CHANGE_EVERY_MS;
                waitingChanges.put("c" + world.ruleChecker.propose(world.leader()), world.now);
            }
            world.runUntil(world.now + 1);
            collectChanges();
            if (world.now < countFrom) {
                claimMs.clear();
                changeMs.clear();
            }
        }
        world.runUntil(world.now + 1_000);
        assertEquals(Map.of(), waitingClaims, "claims without an answer");
    }

    private void collectChanges() {
        waitingChanges.entrySet().removeIf(change -> {
            boolean applied = world.leader().applied.contains(change.getKey());
            if (applied) {
                changeMs.add((int) (world.now - change.getValue()));
            }
            return applied;
        });
    }

    private List<Integer> changeMsWithoutClaims() {
        OperationLatencyTest other = new OperationLatencyTest();
        other.found(FAST_DISK);
        other.play(other.world.leader(), 0);
        other.print("none", other.world.leader());
        return other.changeMs;
    }

    /** The value of this place in a hundred. */
    private static int percentile(List<Integer> values, int percent) {
        List<Integer> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.isEmpty() ? 0 : sorted.get(Math.min(sorted.size() - 1, sorted.size() * percent / 100));
    }

    private static String shown(List<Integer> values) {
        return percentile(values, 50) + "/" + percentile(values, 99) + "/" + percentile(values, 100) + " ms";
    }

    private void print(String what, SimulatedReplica node) {
        SimulatedCoreMember member = SimulatedCoreMember.of(node);
        int snapshots = member.snapshotSizes.size();
        System.out.println("operations, " + what + ": " + claimMs.size() + " claims " + shown(claimMs) + ", "
                + changeMs.size() + " changes " + shown(changeMs) + " (50 %/99 %/longest); " + batches + " batches, "
                + batchBytes / Math.max(1, batches) + " bytes each; " + snapshots + " snapshots in " + DURATION_MS
                + " ms, the largest of "
                + member.snapshotSizes.stream().mapToInt(size -> size).max().orElse(0) + " bytes at "
                + member.registry.size() + " claims, " + member.snapshotNanos / 1_000 / Math.max(1, snapshots)
                + " us each");
    }

    /** {@code bytesPerMs}: of the disks. */
    @ParameterizedTest
    @CsvSource({"a, 0", "b, 0", "a, 20000", "b, 20000"})
    void claimsAreGrantedInTimeAndChangesDoNotWaitForThem(String coordinator, int bytesPerMs) {
        found(bytesPerMs);
        SimulatedReplica node = world.nodes.get(coordinator);
        play(node, CLAIMS_PER_S);
        print("claims at " + coordinator + ", disks of " + bytesPerMs + " bytes/ms", node);
        assertTrue(claimMs.size() > CLAIMS_PER_S * (DURATION_MS - WARM_UP_MS) / 1_000 * 9 / 10);
        assertTrue(percentile(claimMs, 99) <= SHORTEST_EDGE_WAIT_MS, "claims wait too long");
        assertTrue(
                percentile(changeMs, 99) <= percentile(changeMsWithoutClaims(), 99) + MAX_SLOWDOWN_MS,
                "changes wait for claims");
    }

    /** Where messages to edges go. */
    private final class Edges implements SimulatedCoreMember.Outside {
        @Override
        public void send(SimulatedCoreMember member, String edge, Object frame) {
            if (frame instanceof ClaimGranted granted) {
                claimMs.add((int) (world.now - waitingClaims.remove(granted.claim())));
            }
        }

        @Override
        public void propose(SimulatedCoreMember member, long token, byte[] change) {
            batches++;
            batchBytes += change.length;
            SimulatedCoreMember.Outside.super.propose(member, token, change);
        }
    }
}
