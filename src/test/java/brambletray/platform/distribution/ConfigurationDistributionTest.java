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

/** How configurations reach edges on slow links, in virtual time. */
class ConfigurationDistributionTest {
    /** Bytes a ms: 2 Mbit/s. */
    private static final int SLOW = 250;

    private static void assertCalm(SimulatedEdges town) {
        for (SimulatedEdges.Edge edge : town.edges) {
            assertTrue(
                    edge.longestSilence < 500,
                    "edge " + edge.number + " heard no pulse for " + edge.longestSilence + " ms");
        }
    }

    @Test
    void oneChangeOfManyIsEverywhereAtOnce() {
        SimulatedEdges town = new SimulatedEdges(89, SLOW);
        Configuration first = SimulatedEdges.large(1, 721);
        town.become(first);
        long start = town.untilAll(1, 10_000);
        assertTrue(start < 300, "the first took " + start + " ms");
        long before = town.edges.get(0).bytes;
        town.run(2_000);
        long idle = town.edges.get(0).bytes - before;
        town.become(SimulatedEdges.moved(first, "r5", 123_456));
        long change = town.untilAll(2, 10_000);
        assertTrue(change < 20, "the change took " + change + " ms");
        assertTrue(town.edges.get(0).bytes - before - idle < 700, "bytes " + (town.edges.get(0).bytes - before - idle));
        assertTrue(idle < 900, "bytes in 2 s at rest: " + idle);
        assertCalm(town);
    }

    @Test
    void aReplacementOfAllComesWhole() {
        SimulatedEdges town = new SimulatedEdges(61, SLOW);
        town.become(SimulatedEdges.large(1, 721));
        town.run(3_000);
        town.become(SimulatedEdges.dense(2, 60_000));
        assertTrue(town.untilAll(2, 4_000) < 400);
        assertCalm(town);
    }

    @Test
    void tenChangesASecondForAMinute() {
        SimulatedEdges town = new SimulatedEdges(20, SLOW);
        Configuration configuration = SimulatedEdges.large(1, 721);
        town.become(configuration);
        town.run(3_000);
        long before = town.edges.get(3).bytes;
        Random random = new Random(1);
        for (int i = 0; i < 600; i++) {
            configuration = SimulatedEdges.moved(configuration, "r" + random.nextInt(721), 200_000 + i);
            town.become(configuration);
            if (i == 300) {
                town.edges.get(7).restart();
            }
            town.run(100);
        }
        assertTrue(town.untilAll(601, 2_000) < 20);
        assertTrue(town.edges.get(3).bytes - before < 600 * 500, "bytes " + (town.edges.get(3).bytes - before));
        assertTrue(town.edges.get(7).wholes <= 2, "wholes " + town.edges.get(7).wholes);
        assertCalm(town);
    }

    @Test
    void fourMegabytesTakeWhatTheLinkNeedsAndPulsesPassBetween() {
        SimulatedEdges town = new SimulatedEdges(4, SLOW);
        Configuration configuration = SimulatedEdges.dense(1, (4 << 20) - 4_096);
        town.become(configuration);
        long took = town.untilAll(1, 30_000);
        int packed = packed(configuration);
        assertTrue(took < packed / SLOW * 115L / 100, took + " ms for " + packed + " bytes");
        assertCalm(town);
        assertEquals(1, town.edges.get(0).wholes);
    }

    private static int packed(Configuration configuration) {
        ChangeHistory history = new ChangeHistory();
        history.advanceTo(configuration);
        return history.fullDelta().toCompressedBytes().length;
    }

    @Test
    void changesDuringALongTransferDoNotStartItAnew() {
        SimulatedEdges town = new SimulatedEdges(3, SLOW);
        Configuration configuration = SimulatedEdges.dense(1, 400_000);
        town.become(configuration);
        for (int i = 0; i < 40; i++) {
            town.run(50);
            configuration = SimulatedEdges.moved(configuration, "r" + i, i + 10);
            town.become(configuration);
        }
        assertTrue(town.untilAll(41, 5_000) < 1_000);
        for (SimulatedEdges.Edge edge : town.edges) {
            assertEquals(1, edge.wholes);
            assertEquals(1, edge.revisions.get(0));
        }
        assertCalm(town);
    }

    @Test
    void aNewCoordinatorGoesOnWithTheTransfer() {
        SimulatedEdges town = new SimulatedEdges(3, SLOW);
        Configuration configuration = SimulatedEdges.dense(1, 400_000);
        ChangeHistory other = new ChangeHistory();
        other.advanceTo(configuration);
        town.become(configuration);
        town.run(800);
        long before = town.edges.get(0).bytes;
        town.newCoordinator(other);
        town.run(3_000);
        assertTrue(town.all(1));
        int size = packed(configuration);
        assertTrue(
                town.edges.get(0).bytes < size * 115L / 100 + 2_000,
                town.edges.get(0).bytes + " of " + size + ", " + before + " before");
        assertEquals(1, town.edges.get(0).wholes);
    }

    @Test
    void aLinkThatEndsAmidATransferStartsNothingAnew() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        SimulatedEdges.Edge edge = town.edges.get(0);
        town.become(SimulatedEdges.dense(1, 400_000));
        for (int i = 0; i < 6; i++) {
            town.run(200);
            edge.cut();
            town.run(100);
            edge.join();
        }
        int all = packed(SimulatedEdges.dense(1, 400_000)) / SLOW;
        long more = town.untilAll(1, 3_000);
        assertTrue(more < all - 6 * 200 + 300, more + " ms more, of " + all);
        assertEquals(1, edge.wholes);
    }

    @Test
    void aFarLinkIsKeptBusy() {
        SimulatedEdges town = new SimulatedEdges(2, SLOW);
        town.way = 12;
        Configuration configuration = SimulatedEdges.dense(1, 400_000);
        town.become(configuration);
        long took = town.untilAll(1, 9_000);
        assertTrue(took < packed(configuration) / SLOW * 115L / 100, took + " ms");
        assertCalm(town);
    }

    @Test
    void thoseWhoNeedTheWholeShareOneWhileLittleChanges() {
        ChangeHistory history = new ChangeHistory();
        ConfigurationPublisher publisher = new ConfigurationPublisher(history);
        Configuration configuration = SimulatedEdges.dense(1, 40_000);
        history.advanceTo(configuration);
        long first = publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1).transferId();
        configuration = SimulatedEdges.moved(configuration, "r1", 7);
        history.advanceTo(configuration);
        DeltaChunk again = publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1);
        assertEquals(first, again.transferId());
        assertEquals(1, again.revision());
        assertEquals(
                2,
                publisher.nextChunk(new DeltaRequest(1, 0, 0, true), 1).revision(),
                "no whole one that the asker has already");
        history.advanceTo(SimulatedEdges.dense(9, 40_000));
        assertEquals(9, publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1).revision());
    }

    @Test
    void aTransferThatTheCoordinatorDoesNotKnowBeginsAnew() {
        ChangeHistory history = new ChangeHistory();
        ConfigurationPublisher publisher = new ConfigurationPublisher(history);
        history.advanceTo(SimulatedEdges.dense(1, 40_000));
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
    void halfTheEdgesStartedAtOnce() {
        SimulatedEdges town = new SimulatedEdges(61, SLOW);
        Configuration configuration = SimulatedEdges.large(1, 721);
        town.become(configuration);
        town.run(2_000);
        town.become(SimulatedEdges.moved(configuration, "r1", 77_777_777));
        town.edges.stream().filter(edge -> edge.number % 2 == 0).forEach(SimulatedEdges.Edge::restart);
        assertTrue(town.untilAll(2, 4_000) < 600);
        assertCalm(town);
    }

    @Test
    void anEdgeTwoThousandVersionsBehindGetsOneDifference() {
        SimulatedEdges town = new SimulatedEdges(2, SLOW);
        Configuration configuration = SimulatedEdges.large(1, 721);
        town.become(configuration);
        town.run(1_000);
        town.edges.get(1).cut();
        for (int i = 0; i < 2_000; i++) {
            configuration = SimulatedEdges.moved(configuration, "r" + i % 30, 300_000 + i);
            town.become(configuration);
            town.run(5);
        }
        long before = town.edges.get(1).bytes;
        town.edges.get(1).join();
        assertTrue(town.untilAll(2_001, 2_000) < 300);
        assertTrue(town.edges.get(1).bytes - before < 2_500, "bytes " + (town.edges.get(1).bytes - before));
        assertEquals(List.of(1L, 2_001L), town.edges.get(1).revisions);
    }

    @Test
    void anUnknownBaseGetsTheWhole() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        Configuration configuration = SimulatedEdges.dense(1, 40_000);
        town.become(configuration);
        town.run(1_000);
        Configuration next = SimulatedEdges.moved(configuration, "r3", 400_000);
        ChangeHistory fresh = new ChangeHistory();
        fresh.advanceTo(next);
        town.newCoordinator(fresh);
        town.run(1_000);
        assertTrue(town.all(2));
        assertEquals(2, town.edges.get(0).wholes);
    }

    @Test
    void aDifferenceThatDoesNotFitIsFollowedByTheWhole() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        SimulatedEdges.Edge edge = town.edges.get(0);
        town.become(SimulatedEdges.large(1, 721));
        town.run(1_000);
        // The helm's history is not the edge's: under the same number it has something else.
        ChangeHistory other = new ChangeHistory();
        Configuration strange = SimulatedEdges.large(1, 720);
        other.advanceTo(strange);
        Configuration next = SimulatedEdges.moved(strange, "r3", 400_000);
        other.advanceTo(next);
        town.newCoordinator(other);
        town.run(1_000);
        assertEquals(List.of("configuration.digest"), edge.faults);
        assertTrue(town.all(2));
        assertEquals(next.digest(), edge.subscriber.configuration().digest());
        assertEquals(720, edge.subscriber.configuration().routes().size());
    }

    @Test
    void bytesThatBreakOnTheWayAreNeverTakenAndNotFetchedInCircles() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        SimulatedEdges.Edge edge = town.edges.get(0);
        edge.onTheWay = SimulatedEdges::broken;
        town.become(SimulatedEdges.large(1, 100));
        town.run(10_000);
        assertTrue(town.all(0));
        assertTrue(edge.faults.size() >= 5 && edge.faults.size() <= 12, edge.faults.toString());
        edge.onTheWay = chunk -> chunk;
        assertTrue(town.untilAll(1, 3_000) < 1_500);
    }

    @Test
    void aChunkThatIsLostIsAskedForAgain() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        SimulatedEdges.Edge edge = town.edges.get(0);
        int[] count = new int[1];
        DeltaChunk none = new DeltaChunk(1, 0, 0, 0, 0, new byte[0]);
        edge.onTheWay = chunk -> ++count[0] % 5 == 0 ? none : chunk;
        town.become(SimulatedEdges.dense(1, 100_000));
        assertTrue(town.untilAll(1, 10_000) < 8_000);
        assertEquals(1, edge.wholes);
    }

    @Test
    void nobodyGoesBack() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        Configuration configuration = SimulatedEdges.large(1, 721);
        ChangeHistory late = new ChangeHistory();
        late.advanceTo(configuration);
        town.become(configuration);
        town.run(500);
        town.become(SimulatedEdges.moved(configuration, "r1", 500_000));
        town.run(500);
        town.newCoordinator(late);
        town.run(3_000);
        assertEquals(List.of(1L, 2L), town.edges.get(0).revisions);
        assertNull(town.coordinator.nextChunk(new DeltaRequest(2, 0, 0, false), 2));
        town.edges.get(0).subscriber.onChunk(new DeltaChunk(2, 1, 9, 5, 0, new byte[5]), town.now);
        assertTrue(town.all(2));
    }

    @Test
    void oddChunksDoNoHarm() {
        SimulatedEdges town = new SimulatedEdges(1, SLOW);
        ConfigurationSubscriber edge = town.edges.get(0).subscriber;
        for (DeltaChunk odd : List.of(
                new DeltaChunk(1, 5, 1, -1, 0, new byte[1]),
                new DeltaChunk(1, 5, 1, Integer.MAX_VALUE, 0, new byte[1]),
                new DeltaChunk(1, 5, 1, 10, -1, new byte[1]),
                new DeltaChunk(1, 5, 1, 10, 0, new byte[11]),
                new DeltaChunk(1, 5, 1, 10, 9, new byte[1]),
                new DeltaChunk(1, 5, 1, 10, 0, new byte[0]),
                new DeltaChunk(1, 5, 1, 10, 0, new byte[10]))) {
            edge.onChunk(odd, 0);
        }
        town.become(SimulatedEdges.large(6, 50));
        town.run(2_000);
        assertTrue(town.all(6));
    }

    @Test
    void whatThePublisherKeepsIsBounded() {
        ChangeHistory history = new ChangeHistory();
        ConfigurationPublisher publisher = new ConfigurationPublisher(history);
        for (int i = 1; i < 12; i++) {
            history.advanceTo(SimulatedEdges.dense(i, 3 << 20));
            publisher.nextChunk(new DeltaRequest(0, 0, 0, false), 1);
        }
        assertTrue(
                publisher.cachedBytes() <= ConfigurationPublisher.MAX_CACHED_BYTES, "kept " + publisher.cachedBytes());
        assertTrue(ConfigurationDelta.fromCompressedBytes(history.fullDelta().toCompressedBytes())
                        .revision()
                == 11);
    }
}
