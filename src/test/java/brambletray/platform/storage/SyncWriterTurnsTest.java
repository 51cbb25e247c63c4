package brambletray.platform.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.interleaving.Turns;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Runs the event loop and the writer thread in every interleaving of their steps. */
class SyncWriterTurnsTest {
    private static final int NO_FAILURE = -1;
    private static final long NOW_MS = 10;

    @BeforeAll
    static void muteLog() {
        Logger.getLogger("storage").setLevel(Level.OFF);
    }

    /** The writer with a simulated disk, the event loop's tasks, and the results reported to the loop. */
    private static final class Scenario {
        private final Turns turns;
        private final Queue<Runnable> loop = new ArrayDeque<>();
        private final Map<String, Integer> disk = new TreeMap<>();
        private final List<String> results = new ArrayList<>();
        private final SyncWriter writer;
        private final int failingWrite;
        private int writes;

        /** {@code failingWrite}: index of the write that fails, or {@link #NO_FAILURE}. */
        private Scenario(Turns turns, int failingWrite) {
            this.turns = turns;
            this.failingWrite = failingWrite;
            writer = new SyncWriter(this::write, this::execute, turns.lock());
            turns.thread("writer", writer::run);
        }

        private void write(List<KeyChange> changes) {
            turns.point();
            if (writes++ == failingWrite) {
                throw new StorageException("storage.full", "disk full", null);
            }
            changes.forEach(change -> disk.put(change.key(), (int) change.value()[0]));
        }

        private void execute(Runnable task) {
            loop.add(task);
        }

        private void runLoopTasks() {
            turns.point();
            for (Runnable task = loop.poll(); task != null; task = loop.poll()) {
                task.run();
            }
        }

        /** Requests a commit of key = value, and records its result. The values have to increase. */
        private void commit(String key, int value) {
            String name = key + value;
            assertTrue(writer.commit(
                    List.of(new KeyChange(key, new byte[] {(byte) value})), NOW_MS, new DurableStore.CommitCallback() {
                        @Override
                        public void onCommitted() {
                            assertTrue(
                                    disk.getOrDefault(key, 0) >= value, name + " is acknowledged but not on the disk");
                            results.add(name + " done");
                        }

                        @Override
                        public void onFailed(StorageException fault) {
                            results.add(name + ' ' + fault.code());
                        }
                    }));
        }

        private void finish() {
            turns.run();
            runLoopTasks();
            assertEquals(0, writer.pending());
            assertEquals(0, writer.oldestWaitMs(NOW_MS));
        }
    }

    @Test
    void callsBackOncePerCommitInOrderAfterItIsDurable() {
        int orders = Turns.everyOrder(turns -> {
            Scenario scenario = new Scenario(turns, NO_FAILURE);
            turns.thread("loop", () -> {
                scenario.commit("a", 1);
                scenario.commit("a", 2);
                scenario.runLoopTasks();
                scenario.commit("b", 3);
                scenario.writer.close();
            });
            scenario.finish();
            assertEquals(List.of("a1 done", "a2 done", "b3 done"), scenario.results);
            assertEquals(Map.of("a", 2, "b", 3), scenario.disk);
        });
        System.out.println("writer: " + orders + " interleavings");
        assertTrue(orders > 20, "too few interleavings: " + orders);
    }

    @Test
    void aFullDiskFailsOnlyTheCommitsOfThatWrite() {
        int orders = 0;
        for (int failing = 0; failing < 2; failing++) {
            int failingWrite = failing;
            orders += Turns.everyOrder(turns -> {
                Scenario scenario = new Scenario(turns, failingWrite);
                turns.thread("loop", () -> {
                    scenario.commit("a", 1);
                    scenario.commit("b", 2);
                    scenario.writer.close();
                });
                scenario.finish();
                assertEquals(2, scenario.results.size(), scenario.results::toString);
                assertEquals("a1", scenario.results.get(0).substring(0, 2));
                assertEquals("b2", scenario.results.get(1).substring(0, 2));
                boolean writeFailed = scenario.writes > failingWrite;
                assertEquals(
                        writeFailed,
                        scenario.results.stream().anyMatch(one -> one.endsWith("storage.full")),
                        scenario.results::toString);
            });
        }
        System.out.println("writer on a full disk: " + orders + " interleavings");
        assertTrue(orders > 20, "too few interleavings: " + orders);
    }

    @Test
    void pendingCountAndWaitTimeAreConsistent() {
        int orders = Turns.everyOrder(turns -> {
            Scenario scenario = new Scenario(turns, NO_FAILURE);
            turns.thread("loop", () -> {
                scenario.commit("a", 1);
                int pending = scenario.writer.pending();
                long wait = scenario.writer.oldestWaitMs(NOW_MS + 5);
                assertTrue(pending == 0 || pending == 1, "pending " + pending);
                assertTrue(wait == 0 || wait == 5, "oldest wait " + wait);
                assertTrue(pending > 0 || wait == 0, "nothing is pending, but the oldest wait is " + wait);
                scenario.writer.close();
            });
            scenario.finish();
        });
        assertTrue(orders > 10, "too few interleavings: " + orders);
    }

    /** The queue is shared by two threads: each of its methods takes the lock exactly once. */
    @Test
    void eachQueueMethodTakesTheLockOnce() {
        Turns.everyOrder(turns -> {
            Turns.CountingLock lock = turns.lock();
            CommitQueue queue = new CommitQueue(4, 100, lock);
            CommitQueue.Entry entry = new CommitQueue.Entry(List.of(), null, NOW_MS, 1);
            List<Runnable> methods = List.of(
                    () -> assertNull(queue.poll()),
                    () -> assertTrue(queue.add(entry)),
                    () -> assertEquals(1, queue.size()),
                    () -> assertEquals(5, queue.oldestWaitMs(NOW_MS + 5)),
                    () -> assertEquals(List.of(entry), queue.take()),
                    queue::markFinished,
                    queue::close,
                    () -> assertNull(queue.take()));
            turns.thread("one", () -> {
                for (int i = 0; i < methods.size(); i++) {
                    int before = lock.taken();
                    methods.get(i).run();
                    assertEquals(before + 1, lock.taken(), "method " + i);
                    assertTrue(!lock.isHeldByCurrentThread(), "method " + i + " did not release the lock");
                }
            });
            turns.run();
        });
    }

    /**
     * Verifies the test method itself: a queue that reads and clears in two critical sections loses a commit in some
     * interleaving, and that is detected.
     */
    @Test
    void detectsARaceOfTwoCriticalSections() {
        boolean[] lost = new boolean[1];
        Turns.everyOrder(turns -> {
            ReentrantLock lock = turns.lock();
            List<Integer> waiting = new ArrayList<>();
            List<Integer> taken = new ArrayList<>();
            turns.thread("loop", () -> {
                add(lock, waiting, 1);
                add(lock, waiting, 2);
            });
            turns.thread("writer", () -> {
                lock.lock();
                taken.addAll(waiting);
                lock.unlock();
                lock.lock();
                waiting.clear();
                lock.unlock();
            });
            turns.run();
            lost[0] |= taken.size() + waiting.size() < 2;
        });
        assertTrue(lost[0], "no interleaving showed the race");
    }

    private static void add(ReentrantLock lock, List<Integer> waiting, int number) {
        lock.lock();
        waiting.add(number);
        lock.unlock();
    }
}
