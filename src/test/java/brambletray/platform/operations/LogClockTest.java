package brambletray.platform.operations;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LogClockTest {
    private static final int SEEDS = 300;
    private static final int STEPS = 400;

    @Test
    void consecutiveBatchesOfOneProposerLoseNoTime() {
        LogClock clock = new LogClock(1, 0);
        BatchStamp first = clock.stamp(10);
        for (long madeAt = 10; madeAt < 60_000; madeAt += 5) {
            // Two batches are in flight: the second is created before the first is applied.
            BatchStamp second = clock.stamp(madeAt + 5);
            clock.advance(first, madeAt + 8);
            first = second;
        }
        assertEquals(60_000, clock.estimateMs(60_000), 20);
        assertEquals(60_000, clock.timeMs(), 30);
    }

    @Test
    void downtimeOfAllProcessesIsNotCounted() {
        LogClock before = new LogClock(1, 0);
        before.advance(before.stamp(5_000), 5_005);
        long stopped = before.timeMs();
        LogClock after = restarted(before, 2, 900_000);
        assertEquals(stopped, after.estimateMs(900_000));
        after.advance(after.stamp(901_000), 901_005);
        assertEquals(stopped + 999, after.timeMs());
    }

    @Test
    void aBatchCreatedBeforeAnotherProposersWasAppliedAddsNoTime() {
        LogClock slow = new LogClock(1, 0);
        LogClock other = new LogClock(2, 0);
        BatchStamp late = slow.stamp(50_000);
        BatchStamp claim = other.stamp(1);
        slow.advance(claim, 50_000);
        long claimedAt = slow.timeMs();
        slow.advance(late, 50_001);
        assertEquals(claimedAt, slow.timeMs());
    }

    private static LogClock restarted(LogClock clock, long processId, long nowMs) {
        try {
            var bytes = new java.io.ByteArrayOutputStream();
            clock.write(new java.io.DataOutputStream(bytes));
            return LogClock.read(
                    new java.io.DataInputStream(new java.io.ByteArrayInputStream(bytes.toByteArray())),
                    processId,
                    nowMs);
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /** A process with its own monotonic clock that has applied a prefix of the log. */
    private static final class Process {
        final long offsetMs;
        LogClock clock;
        int applied;

        Process(Random random, long processId) {
            offsetMs = random.nextInt(1_000_000);
            clock = new LogClock(processId, offsetMs);
        }

        long clockMs(long nowMs) {
            return nowMs + offsetMs;
        }
    }

    private record CreatedBatch(BatchStamp stamp, long createdAtMs) {}

    /** Random runs of several proposers that lag behind the log, with reordered and lost batches and restarts. */
    @Test
    void logTimeNeverAdvancesFasterThanRealTime() {
        long first = Long.getLong("operations.first", 1);
        int seeds = Integer.getInteger("operations.seeds", SEEDS);
        long advanced = 0;
        for (long seed = first; seed < first + seeds; seed++) {
            advanced += simulate(seed);
        }
        System.out.println("log clock: seeds " + first + " to " + (first + seeds - 1) + ", " + advanced + " ms");
        assertTrue(advanced > seeds * 100L, "the log clocks barely advanced");
    }

    private static long simulate(long seed) {
        Random random = new Random(seed);
        List<Process> processes = new ArrayList<>();
        long nextProcessId = 1;
        for (int i = 0; i < 3; i++) {
            processes.add(new Process(random, nextProcessId++));
        }
        List<CreatedBatch> log = new ArrayList<>();
        List<Long> times = new ArrayList<>();
        LogClock reference = new LogClock(99, 0);
        ArrayDeque<CreatedBatch> inFlight = new ArrayDeque<>();
        long nowMs = 0;
        int usualProcess = 0;
        for (int step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(4) == 0 ? random.nextInt(3_000) : random.nextInt(10);
            usualProcess = random.nextInt(10) == 0 ? random.nextInt(3) : usualProcess;
            Process process = processes.get(random.nextInt(3) == 0 ? random.nextInt(3) : usualProcess);
            switch (random.nextInt(6)) {
                case 0, 1 -> inFlight.add(new CreatedBatch(process.clock.stamp(process.clockMs(nowMs)), nowMs));
                case 2, 3 -> {
                    if (!inFlight.isEmpty()) {
                        CreatedBatch batch = random.nextInt(4) == 0 ? inFlight.pollLast() : inFlight.poll();
                        reference.advance(batch.stamp, nowMs);
                        log.add(batch);
                        times.add(reference.timeMs());
                    }
                }
                case 4 -> {
                    int upTo = process.applied + random.nextInt(log.size() - process.applied + 1);
                    while (process.applied < upTo) {
                        process.clock.advance(log.get(process.applied++).stamp, process.clockMs(nowMs));
                    }
                }
                default -> {
                    if (random.nextInt(10) == 0) {
                        Process next = new Process(random, nextProcessId++);
                        next.applied = process.applied;
                        next.clock = restarted(process.clock, nextProcessId - 1, next.clockMs(nowMs));
                        processes.set(processes.indexOf(process), next);
                    }
                }
            }
        }
        check(seed, log, times);
        return reference.timeMs();
    }

    private static void check(long seed, List<CreatedBatch> log, List<Long> times) {
        long[] latestCreatedAtMs = new long[log.size()];
        long latest = Long.MIN_VALUE;
        for (int i = 0; i < log.size(); i++) {
            latest = Math.max(latest, log.get(i).createdAtMs);
            latestCreatedAtMs[i] = latest;
        }
        for (int i = 0; i < log.size(); i++) {
            for (int k = i + 1; k < log.size(); k++) {
                long counted = times.get(k) - times.get(i);
                long real = latestCreatedAtMs[k] - latestCreatedAtMs[i];
                assertTrue(
                        counted <= real,
                        "seed " + seed + ": " + counted + " ms counted in " + real + " from " + i + " to " + k);
            }
        }
    }
}
