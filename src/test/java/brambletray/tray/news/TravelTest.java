package brambletray.tray.news;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.tray.creed.Creed;
import brambletray.tray.creed.Delta;
import brambletray.tray.creed.History;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** How configurations reach edges on slow links, in virtual time. */
class TravelTest {
    /** Bytes a ms: 2 Mbit/s. */
    private static final int SLOW = 250;

    private static void assertCalm(Town town) {
        for (Town.Edge edge : town.edges) {
            assertTrue(
                    edge.longestSilence < 500,
                    "edge " + edge.number + " heard no pulse for " + edge.longestSilence + " ms");
        }
    }

    @Test
    void oneChangeOfManyIsEverywhereAtOnce() {
        Town town = new Town(89, SLOW);
        Creed first = Town.large(1, 721);
        town.become(first);
        long start = town.untilAll(1, 10_000);
        assertTrue(start < 300, "the first took " + start + " ms");
        long before = town.edges.get(0).bytes;
        town.run(2_000);
        long idle = town.edges.get(0).bytes - before;
        town.become(Town.moved(first, "r5", 123_456));
        long change = town.untilAll(2, 10_000);
        assertTrue(change < 20, "the change took " + change + " ms");
        assertTrue(town.edges.get(0).bytes - before - idle < 700, "bytes " + (town.edges.get(0).bytes - before - idle));
        assertTrue(idle < 900, "bytes in 2 s at rest: " + idle);
        assertCalm(town);
    }

    @Test
    void aReplacementOfAllComesWhole() {
        Town town = new Town(61, SLOW);
        town.become(Town.large(1, 721));
        town.run(3_000);
        town.become(Town.dense(2, 60_000));
        assertTrue(town.untilAll(2, 4_000) < 400);
        assertCalm(town);
    }

    @Test
    void tenChangesASecondForAMinute() {
        Town town = new Town(20, SLOW);
        Creed creed = Town.large(1, 721);
        town.become(creed);
        town.run(3_000);
        long before = town.edges.get(3).bytes;
        Random random = new Random(1);
        for (int i = 0; i < 600; i++) {
            creed = Town.moved(creed, "r" + random.nextInt(721), 200_000 + i);
            town.become(creed);
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
        Town town = new Town(4, SLOW);
        Creed creed = Town.dense(1, (4 << 20) - 4_096);
        town.become(creed);
        long took = town.untilAll(1, 30_000);
        int packed = packed(creed);
        assertTrue(took < packed / SLOW * 115L / 100, took + " ms for " + packed + " bytes");
        assertCalm(town);
        assertEquals(1, town.edges.get(0).wholes);
    }

    private static int packed(Creed creed) {
        History history = new History();
        history.become(creed);
        return history.whole().packed().length;
    }

    @Test
    void changesDuringALongTransferDoNotStartItAnew() {
        Town town = new Town(3, SLOW);
        Creed creed = Town.dense(1, 400_000);
        town.become(creed);
        for (int i = 0; i < 40; i++) {
            town.run(50);
            creed = Town.moved(creed, "r" + i, i + 10);
            town.become(creed);
        }
        assertTrue(town.untilAll(41, 5_000) < 1_000);
        for (Town.Edge edge : town.edges) {
            assertEquals(1, edge.wholes);
            assertEquals(1, edge.revisions.get(0));
        }
        assertCalm(town);
    }

    @Test
    void aNewHelmGoesOnWithTheTransfer() {
        Town town = new Town(3, SLOW);
        Creed creed = Town.dense(1, 400_000);
        History other = new History();
        other.become(creed);
        town.become(creed);
        town.run(800);
        long before = town.edges.get(0).bytes;
        town.newHelm(other);
        town.run(3_000);
        assertTrue(town.all(1));
        int size = packed(creed);
        assertTrue(
                town.edges.get(0).bytes < size * 115L / 100 + 2_000,
                town.edges.get(0).bytes + " of " + size + ", " + before + " before");
        assertEquals(1, town.edges.get(0).wholes);
    }

    @Test
    void aLinkThatEndsAmidATransferStartsNothingAnew() {
        Town town = new Town(1, SLOW);
        Town.Edge edge = town.edges.get(0);
        town.become(Town.dense(1, 400_000));
        for (int i = 0; i < 6; i++) {
            town.run(200);
            edge.cut();
            town.run(100);
            edge.join();
        }
        int all = packed(Town.dense(1, 400_000)) / SLOW;
        long more = town.untilAll(1, 3_000);
        assertTrue(more < all - 6 * 200 + 300, more + " ms more, of " + all);
        assertEquals(1, edge.wholes);
    }

    @Test
    void aFarLinkIsKeptBusy() {
        Town town = new Town(2, SLOW);
        town.way = 12;
        Creed creed = Town.dense(1, 400_000);
        town.become(creed);
        long took = town.untilAll(1, 9_000);
        assertTrue(took < packed(creed) / SLOW * 115L / 100, took + " ms");
        assertCalm(town);
    }

    @Test
    void thoseWhoNeedTheWholeShareOneWhileLittleChanges() {
        History history = new History();
        Publisher publisher = new Publisher(history);
        Creed creed = Town.dense(1, 40_000);
        history.become(creed);
        long first = publisher.answer(new Fetch(0, 0, 0, false), 1).body();
        creed = Town.moved(creed, "r1", 7);
        history.become(creed);
        Chunk again = publisher.answer(new Fetch(0, 0, 0, false), 1);
        assertEquals(first, again.body());
        assertEquals(1, again.revision());
        assertEquals(
                2, publisher.answer(new Fetch(1, 0, 0, true), 1).revision(), "no whole one that the asker has already");
        history.become(Town.dense(9, 40_000));
        assertEquals(9, publisher.answer(new Fetch(0, 0, 0, false), 1).revision());
    }

    @Test
    void aTransferThatTheHelmDoesNotKnowBeginsAnew() {
        History history = new History();
        Publisher publisher = new Publisher(history);
        history.become(Town.dense(1, 40_000));
        Chunk begun = publisher.answer(new Fetch(0, 12_345, Chunk.BYTES, false), 1);
        assertEquals(0, begun.offset());
        assertEquals(
                Chunk.BYTES,
                publisher
                        .answer(new Fetch(0, begun.body(), Chunk.BYTES, false), 1)
                        .offset());
        assertEquals(
                0,
                publisher
                        .answer(new Fetch(0, begun.body(), begun.size(), false), 1)
                        .offset());
        assertEquals(
                0, publisher.answer(new Fetch(0, begun.body(), -1, false), 1).offset());
    }

    @Test
    void halfTheEdgesStartedAtOnce() {
        Town town = new Town(61, SLOW);
        Creed creed = Town.large(1, 721);
        town.become(creed);
        town.run(2_000);
        town.become(Town.moved(creed, "r1", 77_777_777));
        town.edges.stream().filter(edge -> edge.number % 2 == 0).forEach(Town.Edge::restart);
        assertTrue(town.untilAll(2, 4_000) < 600);
        assertCalm(town);
    }

    @Test
    void anEdgeTwoThousandVersionsBehindGetsOneDifference() {
        Town town = new Town(2, SLOW);
        Creed creed = Town.large(1, 721);
        town.become(creed);
        town.run(1_000);
        town.edges.get(1).cut();
        for (int i = 0; i < 2_000; i++) {
            creed = Town.moved(creed, "r" + i % 30, 300_000 + i);
            town.become(creed);
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
        Town town = new Town(1, SLOW);
        Creed creed = Town.dense(1, 40_000);
        town.become(creed);
        town.run(1_000);
        Creed next = Town.moved(creed, "r3", 400_000);
        History fresh = new History();
        fresh.become(next);
        town.newHelm(fresh);
        town.run(1_000);
        assertTrue(town.all(2));
        assertEquals(2, town.edges.get(0).wholes);
    }

    @Test
    void aDifferenceThatDoesNotFitIsFollowedByTheWhole() {
        Town town = new Town(1, SLOW);
        Town.Edge edge = town.edges.get(0);
        town.become(Town.large(1, 721));
        town.run(1_000);
        // The helm's history is not the edge's: under the same number it has something else.
        History other = new History();
        Creed strange = Town.large(1, 720);
        other.become(strange);
        Creed next = Town.moved(strange, "r3", 400_000);
        other.become(next);
        town.newHelm(other);
        town.run(1_000);
        assertEquals(List.of("creed.digest"), edge.faults);
        assertTrue(town.all(2));
        assertEquals(next.digest(), edge.subscriber.creed().digest());
        assertEquals(720, edge.subscriber.creed().routes().size());
    }

    @Test
    void bytesThatBreakOnTheWayAreNeverTakenAndNotFetchedInCircles() {
        Town town = new Town(1, SLOW);
        Town.Edge edge = town.edges.get(0);
        edge.onTheWay = Town::broken;
        town.become(Town.large(1, 100));
        town.run(10_000);
        assertTrue(town.all(0));
        assertTrue(edge.faults.size() >= 5 && edge.faults.size() <= 12, edge.faults.toString());
        edge.onTheWay = chunk -> chunk;
        assertTrue(town.untilAll(1, 3_000) < 1_500);
    }

    @Test
    void aChunkThatIsLostIsAskedForAgain() {
        Town town = new Town(1, SLOW);
        Town.Edge edge = town.edges.get(0);
        int[] count = new int[1];
        Chunk none = new Chunk(1, 0, 0, 0, 0, new byte[0]);
        edge.onTheWay = chunk -> ++count[0] % 5 == 0 ? none : chunk;
        town.become(Town.dense(1, 100_000));
        assertTrue(town.untilAll(1, 10_000) < 8_000);
        assertEquals(1, edge.wholes);
    }

    @Test
    void nobodyGoesBack() {
        Town town = new Town(1, SLOW);
        Creed creed = Town.large(1, 721);
        History late = new History();
        late.become(creed);
        town.become(creed);
        town.run(500);
        town.become(Town.moved(creed, "r1", 500_000));
        town.run(500);
        town.newHelm(late);
        town.run(3_000);
        assertEquals(List.of(1L, 2L), town.edges.get(0).revisions);
        assertNull(town.helm.answer(new Fetch(2, 0, 0, false), 2));
        town.edges.get(0).subscriber.heard(new Chunk(2, 1, 9, 5, 0, new byte[5]), town.now);
        assertTrue(town.all(2));
    }

    @Test
    void oddChunksDoNoHarm() {
        Town town = new Town(1, SLOW);
        Subscriber edge = town.edges.get(0).subscriber;
        for (Chunk odd : List.of(
                new Chunk(1, 5, 1, -1, 0, new byte[1]),
                new Chunk(1, 5, 1, Integer.MAX_VALUE, 0, new byte[1]),
                new Chunk(1, 5, 1, 10, -1, new byte[1]),
                new Chunk(1, 5, 1, 10, 0, new byte[11]),
                new Chunk(1, 5, 1, 10, 9, new byte[1]),
                new Chunk(1, 5, 1, 10, 0, new byte[0]),
                new Chunk(1, 5, 1, 10, 0, new byte[10]))) {
            edge.heard(odd, 0);
        }
        town.become(Town.large(6, 50));
        town.run(2_000);
        assertTrue(town.all(6));
    }

    @Test
    void whatThePublisherKeepsIsBounded() {
        History history = new History();
        Publisher publisher = new Publisher(history);
        for (int i = 1; i < 12; i++) {
            history.become(Town.dense(i, 3 << 20));
            publisher.answer(new Fetch(0, 0, 0, false), 1);
        }
        assertTrue(publisher.kept() <= Publisher.BYTES, "kept " + publisher.kept());
        assertTrue(Delta.unpack(history.whole().packed()).revision() == 11);
    }
}
