package brambletray.platform.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationDelta;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Distribution of configurations to edges on slow links, in virtual time. */
class ConfigurationDistributionTest {
    /** 2 Mbit/s. */
    private static final int LINK_BYTES_PER_MS = 250;

    private static void assertHeartbeatsOnTime(SimulatedEdges simulation) {
        for (SimulatedEdges.Edge edge : simulation.edges) {
            assertTrue(
                    edge.longestHeartbeatGapMs < 500,
                    "edge " + edge.number + " received no heartbeat for " + edge.longestHeartbeatGapMs + " ms");
        }
    }

    @Test
    void aSingleRouteChangeReachesAllEdgesWithin20Ms() {
        SimulatedEdges simulation = new SimulatedEdges(89, LINK_BYTES_PER_MS);
        Configuration first = SimulatedEdges.withRoutes(1, 721);
        simulation.publish(first);
        long start = simulation.runUntilAllAt(1, 10_000);
        assertTrue(start < 300, "the first configuration took " + start + " ms");
        long before = simulation.edges.get(0).bytes;
        simulation.run(2_000);
        long idle = simulation.edges.get(0).bytes - before;
        simulation.publish(SimulatedEdges.withRoutePath(first, "r5", 123_456));
        long change = simulation.runUntilAllAt(2, 10_000);
        assertTrue(change < 20, "the change took " + change + " ms");
        assertTrue(
                simulation.edges.get(0).bytes - before - idle < 700,
                "bytes " + (simulation.edges.get(0).bytes - before - idle));
        assertTrue(idle < 900, "bytes in 2 s without changes: " + idle);
        assertHeartbeatsOnTime(simulation);
    }

    @Test
    void aCompleteReplacementReachesAllEdges() {
        SimulatedEdges simulation = new SimulatedEdges(61, LINK_BYTES_PER_MS);
        simulation.publish(SimulatedEdges.withRoutes(1, 721));
        simulation.run(3_000);
        simulation.publish(SimulatedEdges.incompressible(2, 60_000));
        assertTrue(simulation.runUntilAllAt(2, 4_000) < 400);
        assertHeartbeatsOnTime(simulation);
    }

    @Test
    void edgesFollowTenChangesPerSecondForAMinute() {
        SimulatedEdges simulation = new SimulatedEdges(20, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.withRoutes(1, 721);
        simulation.publish(configuration);
        simulation.run(3_000);
        long before = simulation.edges.get(3).bytes;
        Random random = new Random(1);
        for (int i = 0; i < 600; i++) {
            configuration = SimulatedEdges.withRoutePath(configuration, "r" + random.nextInt(721), 200_000 + i);
            simulation.publish(configuration);
            if (i == 300) {
                simulation.edges.get(7).restart();
            }
            simulation.run(100);
        }
        assertTrue(simulation.runUntilAllAt(601, 2_000) < 20);
        assertTrue(
                simulation.edges.get(3).bytes - before < 600 * 500,
                "bytes " + (simulation.edges.get(3).bytes - before));
        assertTrue(
                simulation.edges.get(7).fullTransfers <= 2, "full transfers " + simulation.edges.get(7).fullTransfers);
        assertHeartbeatsOnTime(simulation);
    }

    @Test
    void fourMegabytesUseTheLinkFullyWithoutDelayingHeartbeats() {
        SimulatedEdges simulation = new SimulatedEdges(4, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.incompressible(1, (4 << 20) - 4_096);
        simulation.publish(configuration);
        long took = simulation.runUntilAllAt(1, 30_000);
        int packed = compressedBytes(configuration);
        assertTrue(took < packed / LINK_BYTES_PER_MS * 115L / 100, took + " ms for " + packed + " bytes");
        assertHeartbeatsOnTime(simulation);
        assertEquals(1, simulation.edges.get(0).fullTransfers);
    }

    private static int compressedBytes(Configuration configuration) {
        ChangeHistory history = new ChangeHistory();
        history.advanceTo(configuration);
        return history.fullDelta().toCompressedBytes().length;
    }

    @Test
    void changesDuringALongTransferDoNotRestartIt() {
        SimulatedEdges simulation = new SimulatedEdges(3, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.incompressible(1, 400_000);
        simulation.publish(configuration);
        for (int i = 0; i < 40; i++) {
            simulation.run(50);
            configuration = SimulatedEdges.withRoutePath(configuration, "r" + i, i + 10);
            simulation.publish(configuration);
        }
        assertTrue(simulation.runUntilAllAt(41, 5_000) < 1_000);
        for (SimulatedEdges.Edge edge : simulation.edges) {
            assertEquals(1, edge.fullTransfers);
            assertEquals(1, edge.revisions.get(0));
        }
        assertHeartbeatsOnTime(simulation);
    }

    @Test
    void aNewCoordinatorResumesTheTransfer() {
        SimulatedEdges simulation = new SimulatedEdges(3, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.incompressible(1, 400_000);
        ChangeHistory other = new ChangeHistory();
        other.advanceTo(configuration);
        simulation.publish(configuration);
        simulation.run(800);
        long before = simulation.edges.get(0).bytes;
        simulation.replaceCoordinator(other);
        simulation.run(3_000);
        assertTrue(simulation.allAt(1));
        int size = compressedBytes(configuration);
        assertTrue(
                simulation.edges.get(0).bytes < size * 115L / 100 + 2_000,
                simulation.edges.get(0).bytes + " of " + size + ", " + before + " before");
        assertEquals(1, simulation.edges.get(0).fullTransfers);
    }

    @Test
    void aTransferResumesAfterALostLink() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        SimulatedEdges.Edge edge = simulation.edges.get(0);
        simulation.publish(SimulatedEdges.incompressible(1, 400_000));
        for (int i = 0; i < 6; i++) {
            simulation.run(200);
            edge.disconnect();
            simulation.run(100);
            edge.connect();
        }
        int fullTransferMs = compressedBytes(SimulatedEdges.incompressible(1, 400_000)) / LINK_BYTES_PER_MS;
        long remainingMs = simulation.runUntilAllAt(1, 3_000);
        assertTrue(remainingMs < fullTransferMs - 6 * 200 + 300, remainingMs + " ms more, of " + fullTransferMs);
        assertEquals(1, edge.fullTransfers);
    }

    @Test
    void aLinkWithHighLatencyIsFullyUsed() {
        SimulatedEdges simulation = new SimulatedEdges(2, LINK_BYTES_PER_MS);
        simulation.oneWayDelayMs = 12;
        Configuration configuration = SimulatedEdges.incompressible(1, 400_000);
        simulation.publish(configuration);
        long took = simulation.runUntilAllAt(1, 9_000);
        assertTrue(took < compressedBytes(configuration) / LINK_BYTES_PER_MS * 115L / 100, took + " ms");
        assertHeartbeatsOnTime(simulation);
    }

    @Test
    void fullDeltasAreSharedWhileLittleChanges() {
        ChangeHistory history = new ChangeHistory();
        ConfigurationPublisher publisher = new ConfigurationPublisher(history);
        Configuration configuration = SimulatedEdges.incompressible(1, 40_000);
        history.advanceTo(configuration);
        long first = publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1).transferId();
        configuration = SimulatedEdges.withRoutePath(configuration, "r1", 7);
        history.advanceTo(configuration);
        DeltaChunk again = publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1);
        assertEquals(first, again.transferId());
        assertEquals(1, again.revision());
        assertEquals(
                2,
                publisher.nextChunk(new DeltaRequest(1, 0, 0, true), 1).revision(),
                "no full configuration that the edge already has");
        history.advanceTo(SimulatedEdges.incompressible(9, 40_000));
        assertEquals(9, publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1).revision());
    }

    @Test
    void anUnknownTransferStartsFromTheBeginning() {
        ChangeHistory history = new ChangeHistory();
        ConfigurationPublisher publisher = new ConfigurationPublisher(history);
        history.advanceTo(SimulatedEdges.incompressible(1, 40_000));
        DeltaChunk begun = publisher.nextChunk(new DeltaRequest(0, 12_345, DeltaChunk.CHUNK_BYTES, false), 1);
        assertEquals(0, begun.offset());
        assertEquals(
                DeltaChunk.CHUNK_BYTES,
                publisher
                        .nextChunk(new DeltaRequest(0, begun.transferId(), DeltaChunk.CHUNK_BYTES, false), 1)
                        .offset());
        assertEquals(
                0,
                publisher
                        .nextChunk(new DeltaRequest(0, begun.transferId(), begun.totalBytes(), false), 1)
                        .offset());
        assertEquals(
                0,
                publisher
                        .nextChunk(new DeltaRequest(0, begun.transferId(), -1, false), 1)
                        .offset());
    }

    @Test
    void halfTheEdgesRestartAtOnce() {
        SimulatedEdges simulation = new SimulatedEdges(61, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.withRoutes(1, 721);
        simulation.publish(configuration);
        simulation.run(2_000);
        simulation.publish(SimulatedEdges.withRoutePath(configuration, "r1", 77_777_777));
        simulation.edges.stream().filter(edge -> edge.number % 2 == 0).forEach(SimulatedEdges.Edge::restart);
        assertTrue(simulation.runUntilAllAt(2, 4_000) < 600);
        assertHeartbeatsOnTime(simulation);
    }

    @Test
    void anEdgeTwoThousandRevisionsBehindGetsOneDelta() {
        SimulatedEdges simulation = new SimulatedEdges(2, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.withRoutes(1, 721);
        simulation.publish(configuration);
        simulation.run(1_000);
        simulation.edges.get(1).disconnect();
        for (int i = 0; i < 2_000; i++) {
            configuration = SimulatedEdges.withRoutePath(configuration, "r" + i % 30, 300_000 + i);
            simulation.publish(configuration);
            simulation.run(5);
        }
        long before = simulation.edges.get(1).bytes;
        simulation.edges.get(1).connect();
        assertTrue(simulation.runUntilAllAt(2_001, 2_000) < 300);
        assertTrue(simulation.edges.get(1).bytes - before < 2_500, "bytes " + (simulation.edges.get(1).bytes - before));
        assertEquals(List.of(1L, 2_001L), simulation.edges.get(1).revisions);
    }

    @Test
    void anUnknownBaseRevisionGetsTheFullConfiguration() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.incompressible(1, 40_000);
        simulation.publish(configuration);
        simulation.run(1_000);
        Configuration next = SimulatedEdges.withRoutePath(configuration, "r3", 400_000);
        ChangeHistory fresh = new ChangeHistory();
        fresh.advanceTo(next);
        simulation.replaceCoordinator(fresh);
        simulation.run(1_000);
        assertTrue(simulation.allAt(2));
        assertEquals(2, simulation.edges.get(0).fullTransfers);
    }

    @Test
    void aDeltaThatDoesNotApplyIsFollowedByTheFullConfiguration() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        SimulatedEdges.Edge edge = simulation.edges.get(0);
        simulation.publish(SimulatedEdges.withRoutes(1, 721));
        simulation.run(1_000);
        // The new coordinator's history differs from the edge's: the same revision has other content.
        ChangeHistory otherHistory = new ChangeHistory();
        Configuration otherConfiguration = SimulatedEdges.withRoutes(1, 720);
        otherHistory.advanceTo(otherConfiguration);
        Configuration next = SimulatedEdges.withRoutePath(otherConfiguration, "r3", 400_000);
        otherHistory.advanceTo(next);
        simulation.replaceCoordinator(otherHistory);
        simulation.run(1_000);
        assertEquals(List.of("configuration.digest"), edge.errors);
        assertTrue(simulation.allAt(2));
        assertEquals(next.digest(), edge.subscriber.configuration().digest());
        assertEquals(720, edge.subscriber.configuration().routes().size());
    }

    @Test
    void corruptedChunksAreRejectedAndNotRequestedInALoop() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        SimulatedEdges.Edge edge = simulation.edges.get(0);
        edge.chunkFilter = SimulatedEdges::corrupted;
        simulation.publish(SimulatedEdges.withRoutes(1, 100));
        simulation.run(10_000);
        assertTrue(simulation.allAt(0));
        assertTrue(edge.errors.size() >= 5 && edge.errors.size() <= 12, edge.errors.toString());
        edge.chunkFilter = chunk -> chunk;
        assertTrue(simulation.runUntilAllAt(1, 3_000) < 1_500);
    }

    @Test
    void aLostChunkIsRequestedAgain() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        SimulatedEdges.Edge edge = simulation.edges.get(0);
        int[] count = new int[1];
        DeltaChunk none = new DeltaChunk(1, 0, 0, 0, 0, new byte[0]);
        edge.chunkFilter = chunk -> ++count[0] % 5 == 0 ? none : chunk;
        simulation.publish(SimulatedEdges.incompressible(1, 100_000));
        assertTrue(simulation.runUntilAllAt(1, 10_000) < 8_000);
        assertEquals(1, edge.fullTransfers);
    }

    @Test
    void revisionsNeverGoBack() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        Configuration configuration = SimulatedEdges.withRoutes(1, 721);
        ChangeHistory outdatedHistory = new ChangeHistory();
        outdatedHistory.advanceTo(configuration);
        simulation.publish(configuration);
        simulation.run(500);
        simulation.publish(SimulatedEdges.withRoutePath(configuration, "r1", 500_000));
        simulation.run(500);
        simulation.replaceCoordinator(outdatedHistory);
        simulation.run(3_000);
        assertEquals(List.of(1L, 2L), simulation.edges.get(0).revisions);
        assertNull(simulation.coordinator.nextChunk(new DeltaRequest(2, 0, 0, false), 2));
        simulation.edges.get(0).subscriber.onChunk(new DeltaChunk(2, 1, 9, 5, 0, new byte[5]), simulation.now);
        assertTrue(simulation.allAt(2));
    }

    @Test
    void malformedChunksAreIgnored() {
        SimulatedEdges simulation = new SimulatedEdges(1, LINK_BYTES_PER_MS);
        ConfigurationSubscriber edge = simulation.edges.get(0).subscriber;
        for (DeltaChunk malformed : List.of(
                new DeltaChunk(1, 5, 1, -1, 0, new byte[1]),
                new DeltaChunk(1, 5, 1, Integer.MAX_VALUE, 0, new byte[1]),
                new DeltaChunk(1, 5, 1, 10, -1, new byte[1]),
                new DeltaChunk(1, 5, 1, 10, 0, new byte[11]),
                new DeltaChunk(1, 5, 1, 10, 9, new byte[1]),
                new DeltaChunk(1, 5, 1, 10, 0, new byte[0]),
                new DeltaChunk(1, 5, 1, 10, 0, new byte[10]))) {
            edge.onChunk(malformed, 0);
        }
        simulation.publish(SimulatedEdges.withRoutes(6, 50));
        simulation.run(2_000);
        assertTrue(simulation.allAt(6));
    }

    @Test
    void theDeltaCacheIsBounded() {
        ChangeHistory history = new ChangeHistory();
        ConfigurationPublisher publisher = new ConfigurationPublisher(history);
        for (int i = 1; i < 12; i++) {
            history.advanceTo(SimulatedEdges.incompressible(i, 3 << 20));
            publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1);
        }
        assertTrue(
                publisher.cachedBytes() <= ConfigurationPublisher.MAX_CACHED_BYTES,
                "cached bytes " + publisher.cachedBytes());
        assertTrue(ConfigurationDelta.fromCompressedBytes(history.fullDelta().toCompressedBytes())
                        .revision()
                == 11);
    }
}
