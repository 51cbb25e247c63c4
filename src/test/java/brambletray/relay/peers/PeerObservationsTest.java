package brambletray.relay.peers;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.recovery.FolderFinding;
import brambletray.relay.recovery.GenerationInquiry;
import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;
import brambletray.relay.store.MemoryDisk;
import brambletray.relay.store.Store;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * One relay and its witnesses in simulated time: the relay lives, is killed and comes back on its folder, on
 * an older copy or on none; witnesses are killed with what they have noted, lose their folder, are stopped;
 * notes are lost, late, doubled and out of order. All times in ms.
 */
class PeerObservationsTest {
    private static final int SEEDS = 3_000;
    private static final long BEAT = 250;
    private static final long LONGEST = 16_000;
    private static final long PATIENCE = 2_000;
    private static final Store.Options OPTIONS = new Store.Options(1_000_000, Store.Promise.PROCESS, 1_000);

    private record Event(long at, long order, Runnable what) {}

    private static final class Witness {
        MemoryDisk disk = new MemoryDisk();
        Store store;
        PeerObservations sightings;
        boolean up;
        boolean stopped;
        boolean cut;
        /** What it was handed, as told by nobody but this test. */
        StoreFreshness handed;

        final List<Runnable> waiting = new ArrayList<>();
    }

    private SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final List<Witness> witnesses = new ArrayList<>();
    private long now;
    private long order;
    private int loss;

    private static PeerObservationsTest of(int seed) {
        PeerObservationsTest sim = new PeerObservationsTest();
        sim.random = new SplittableRandom(seed);
        return sim;
    }

    private void at(long time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    private void runUntil(long time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        now = time;
    }

    private void up(Witness w) {
        try {
            w.store = Store.open(w.disk, OPTIONS);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        w.sightings = new PeerObservations(w.store, List.of("other", "r"), now);
        Store mine = w.store;
        w.sightings.recordTo(mine, () -> {
            try {
                mine.commit();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        w.up = true;
    }

    private void kill(Witness w, boolean folderToo) {
        w.disk = folderToo ? new MemoryDisk() : w.disk.killed();
        w.up = false;
        w.stopped = false;
        w.waiting.clear();
        w.handed = null;
    }

    /** Carries a note with the link's faults. */
    private void carry(Witness w, Runnable what) {
        int copies = random.nextInt(100) < loss ? 0 : random.nextInt(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            at(now + 1 + random.nextInt(random.nextInt(10) == 0 ? 400 : 20), () -> {
                if (w.stopped) {
                    w.waiting.add(what);
                } else if (w.up && !w.cut) {
                    what.run();
                }
            });
        }
    }

    private void live(StoreFreshness from, long commits, long span) {
        long beats = 0;
        for (long t = 0; t <= span; t += BEAT) {
            StoreFreshness freshness =
                    new StoreFreshness(from.storeNumber(), from.incarnation(), from.batch() + commits * t / span);
            long beat = ++beats;
            at(now + t, () -> {
                for (Witness w : witnesses) {
                    carry(w, () -> {
                        w.handed = w.handed == null || w.handed.isBehind(freshness) ? freshness : w.handed;
                        w.sightings.onHeartbeat("r", freshness, beat, now);
                    });
                }
            });
        }
    }

    private final class Question {
        final GenerationInquiry asking;
        FolderFinding found;
        long ended;
        /** Furthest account that got through. */
        StoreFreshness told;

        Question(StoreFreshness own) {
            asking = new GenerationInquiry(
                    own, witnesses.size(), new GenerationInquiry.Terms(PATIENCE, BEAT, LONGEST), now);
            long began = now;
            for (long t = 0; t <= PATIENCE; t += 100) {
                at(began + t, () -> {
                    found(asking.tick(now));
                    for (int i = 0; i < witnesses.size(); i++) {
                        int who = i;
                        Witness w = witnesses.get(i);
                        carry(w, () -> {
                            WitnessReport report = w.sightings.reportOn("r", now);
                            carry(w, () -> {
                                if (found == null && report instanceof WitnessReport.Seen s) {
                                    told = told == null || told.isBehind(s.newest()) ? s.newest() : told;
                                }
                                found(asking.onReport(now, who, report));
                            });
                        });
                    }
                });
            }
        }

        private void found(FolderFinding finding) {
            if (found == null && finding != null) {
                found = finding;
                ended = now;
            }
        }
    }

    private enum Folder {
        KEPT,
        OLDER,
        EMPTY
    }

    /** One story; what was found, by what was done to the folder. */
    private String story(Map<Folder, Integer> stories) {
        loss = random.nextInt(3) == 0 ? 0 : random.nextInt(40);
        int many = 1 + random.nextInt(4);
        for (int i = 0; i < many; i++) {
            witnesses.add(new Witness());
            up(witnesses.get(i));
        }
        now = 100_000;
        List<StoreFreshness> folder = new ArrayList<>();
        int lives = 1 + random.nextInt(3);
        long at = 0;
        for (int life = 1; life <= lives; life++) {
            long commits = 1 + random.nextInt(200);
            StoreFreshness from = new StoreFreshness(42, life, at + 1);
            folder.add(from);
            live(from, commits, 1_000 + random.nextInt(3_000));
            at += 1 + commits;
            folder.add(new StoreFreshness(42, life, at));
            runUntil(now + 4_500 + random.nextInt(2_000));
            for (Witness w : witnesses) {
                switch (random.nextInt(12)) {
                    case 0 -> {
                        kill(w, false);
                        up(w);
                    }
                    case 1 -> {
                        kill(w, true);
                        up(w);
                    }
                    case 2 -> w.cut = !w.cut;
                    default -> {}
                }
            }
        }
        for (Witness w : witnesses) {
            w.cut = random.nextInt(8) == 0;
            if (random.nextInt(8) == 0) {
                kill(w, false);
                if (random.nextBoolean()) {
                    at(now + random.nextInt(1_500), () -> up(w));
                }
            } else if (random.nextInt(8) == 0) {
                w.stopped = true;
                at(now + random.nextInt(3_000), () -> {
                    w.stopped = false;
                    w.waiting.forEach(Runnable::run);
                    w.waiting.clear();
                });
            }
        }
        Folder kind = Folder.values()[random.nextInt(3)];
        stories.merge(kind, 1, Integer::sum);
        StoreFreshness newest = folder.get(folder.size() - 1);
        StoreFreshness own = kind == Folder.EMPTY
                ? null
                : kind == Folder.KEPT ? newest : folder.get(random.nextInt(folder.size() - 1));
        boolean stale = own == null || own.isBehind(newest);
        Question q = new Question(own);
        runUntil(now + PATIENCE + 1);
        assertNotNull(q.found, "within its patience");
        boolean trusts = q.found instanceof FolderFinding.NewRelay || q.found instanceof FolderFinding.Current;
        if (trusts && q.told != null) {
            assertFalse(own == null || own.isBehind(q.told), "believed, though told of " + q.told + ": " + q.found);
        }
        assertFalse(q.found instanceof FolderFinding.NewRelay, "it has lived");
        assertFalse(q.found instanceof FolderFinding.DuplicateProcess, "late notes of a life that is over");
        if (!stale) {
            assertFalse(
                    q.found instanceof FolderFinding.RolledBack || q.found instanceof FolderFinding.Lost, "" + q.found);
        }
        if (q.told != null && q.asking.nextIncarnation() <= q.told.incarnation()) {
            fail("life " + q.asking.nextIncarnation() + " after " + q.told);
        }
        // Every witness up, whole and reachable, that had been handed the end: then a lie cannot pass.
        boolean allKnow = witnesses.stream().allMatch(w -> w.up && !w.cut && newest.equals(w.handed));
        if (stale && allKnow && loss == 0) {
            assertFalse(trusts, "all knew, and it was believed: " + own + " of " + newest);
        }
        return q.found.getClass().getSimpleName();
    }

    @Test
    void noOlderFolderIsBelievedWhereSomeoneSaysSo() {
        Map<Folder, Integer> stories = new EnumMap<>(Folder.class);
        Map<String, Integer> found = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            try {
                found.merge(of(seed).story(stories), 1, Integer::sum);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
            }
        }
        System.out.println("stories " + stories + ", found " + found);
        for (String each : List.of("Current", "RolledBack", "Lost", "Unconfirmed")) {
            assertTrue(found.getOrDefault(each, 0) > SEEDS / 50, each + " is hardly ever seen: " + found);
        }
    }

    /** A fleet that is killed whole remembers what it had noted: the life at once, progress within a second. */
    @Test
    void whatWasHeardOutlastsTheWitness() {
        for (int seed = 0; seed < 200; seed++) {
            PeerObservationsTest sim = of(seed);
            Witness w = new Witness();
            sim.witnesses.add(w);
            sim.up(w);
            sim.live(new StoreFreshness(42, 5, 0), 4_000, 4_000);
            sim.runUntil(200 + sim.random.nextInt(6_000));
            long reached = Math.min(4_000, sim.now);
            sim.kill(w, false);
            sim.up(w);
            WitnessReport.Seen seen =
                    assertInstanceOf(WitnessReport.Seen.class, w.sightings.reportOn("r", sim.now + 70));
            assertEquals(5, seen.newest().incarnation());
            assertTrue(
                    seen.newest().batch() >= reached - PeerObservations.MIN_RECORD_INTERVAL_MS - 2 * BEAT - 400,
                    reached + ": " + seen);
            assertEquals(70, seen.ageMs(), "no longer ago than this life of the witness");
        }
    }
}
