package brambletray.platform.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * A disk that fails from one step on, at each step of opening, abandoning, committing and compacting. Checks which
 * error the caller gets, what is found after a kill or power loss at each later step, and that the store works again
 * once the fault has ended.
 */
class KeyValueStoreFaultsTest {
    private static final int SEED = 20_262;
    /** Low compaction threshold in bytes, so that the store is compacted early. */
    private static final long SMALL_COMPACTION_BYTES = 64 << 10;

    private static final int VALUE_BYTES = 20_000;

    private static final int COMMITS = 8;
    private static final Set<String> DISK_ERROR_CODES = Set.of("storage.full", "storage.refused");

    /** The way in which the disk fails. */
    private enum DiskFault {
        /** No space left: writing and extending fail; syncs, truncations and removals succeed. */
        FULL {
            @Override
            void set(SimulatedDirectory disk, boolean now) {
                disk.setFull(now);
            }
        },
        /** Every operation that changes the disk fails. */
        ALL_CHANGES {
            @Override
            void set(SimulatedDirectory disk, boolean now) {
                disk.setFailing(now);
            }
        };

        abstract void set(SimulatedDirectory disk, boolean active);
    }

    private final Random random = new Random(SEED);
    private final Set<String> reportedCodes = new TreeSet<>();
    private int reopenings;

    @BeforeAll
    static void muteLog() {
        Logger.getLogger("storage").setLevel(Level.OFF);
    }

    private static Map<String, byte[]> contents(KeyValueStore store) {
        Map<String, byte[]> all = new TreeMap<>();
        store.prefix("").forEach(entry -> all.put(entry.getKey(), entry.getValue()));
        return all;
    }

    private static boolean sameEntries(Map<String, byte[]> one, Map<String, byte[]> other) {
        return one.keySet().equals(other.keySet())
                && one.entrySet().stream()
                        .allMatch(entry -> Arrays.equals(entry.getValue(), other.get(entry.getKey())));
    }

    private static List<KeyChange> changes(int number) {
        byte[] value = new byte[VALUE_BYTES];
        Arrays.fill(value, (byte) number);
        return List.of(new KeyChange("key-" + number % 2, value), new KeyChange("number", new byte[] {(byte) number}));
    }

    private static void put(Map<String, byte[]> to, List<KeyChange> changes) {
        changes.forEach(change -> to.put(change.key(), change.value()));
    }

    /** Opens the store on a disk that may fail; if it does, records the error code and returns null. */
    private KeyValueStore tryOpen(SimulatedDirectory disk, String where) {
        try {
            return KeyValueStore.open(disk, SMALL_COMPACTION_BYTES);
        } catch (StorageException error) {
            assertTrue(DISK_ERROR_CODES.contains(error.code()), where + ": " + error.code());
            reportedCodes.add(error.code());
            return null;
        }
    }

    /**
     * Opens the store without a fault, checks that it has one of the two contents, and makes another durable commit.
     */
    private void checkReopens(
            SimulatedDirectory disk, Map<String, byte[]> committed, Map<String, byte[]> attempted, String where) {
        reopenings++;
        try (KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES)) {
            Map<String, byte[]> found = contents(store);
            assertTrue(
                    sameEntries(found, committed) || sameEntries(found, attempted),
                    where + ": found " + found.keySet());
            store.commit(List.of(new KeyChange("after", new byte[] {1})));
        } catch (StorageException error) {
            throw new AssertionError(where + ": " + error.code(), error);
        }
        try (KeyValueStore store = KeyValueStore.open(disk.afterPowerLoss(random), SMALL_COMPACTION_BYTES)) {
            assertArrayEquals(new byte[] {1}, store.get("after"), where);
        }
    }

    private void checkReopensAfterKillAndPowerLoss(
            SimulatedDirectory disk, Map<String, byte[]> committed, Map<String, byte[]> attempted, String where) {
        checkReopens(disk.afterKill(), committed, attempted, where + ", after a kill");
        for (SimulatedDirectory afterPowerLoss : disk.afterPowerLosses(random)) {
            checkReopens(afterPowerLoss, committed, attempted, where + ", after power loss");
        }
    }

    /** Opens the store with the disk failing from step {@code at} on; returns false if there is no such step. */
    private boolean openWithFaultFrom(
            Supplier<SimulatedDirectory> found,
            Map<String, byte[]> committed,
            DiskFault diskFault,
            int at,
            String name) {
        SimulatedDirectory disk = found.get();
        String where = name + ", " + diskFault + " from step " + at;
        int[] step = new int[1];
        disk.setBeforeChange(() -> {
            if (step[0]++ == at) {
                diskFault.set(disk, true);
            }
        });
        KeyValueStore opened = tryOpen(disk, where);
        disk.setBeforeChange(() -> {});
        if (opened != null) {
            assertTrue(sameEntries(contents(opened), committed), where + ": reads");
            opened.close();
        }
        checkReopensAfterKillAndPowerLoss(copyWithoutFault(disk, diskFault), committed, committed, where);
        diskFault.set(disk, false);
        checkReopens(disk, committed, committed, where + ", after the fault");
        return step[0] > at;
    }

    /** A copy of the disk without the fault, as a later process would find it. */
    private static SimulatedDirectory copyWithoutFault(SimulatedDirectory disk, DiskFault diskFault) {
        diskFault.set(disk, false);
        SimulatedDirectory copy = disk.afterKill();
        diskFault.set(disk, true);
        return copy;
    }

    private int openWithFaultAtEachStep(
            Supplier<SimulatedDirectory> found, Map<String, byte[]> committed, String name) {
        int steps = 0;
        for (DiskFault diskFault : DiskFault.values()) {
            for (int at = 0; openWithFaultFrom(found, committed, diskFault, at, name); at++) {
                steps++;
            }
        }
        return steps;
    }

    /**
     * Opens an empty directory, a store whose process was killed, and a store with a torn tail.
     */
    @Test
    void openingWithAFaultAtAnyStepReportsItAndLosesNothing() {
        int steps = openWithFaultAtEachStep(SimulatedDirectory::new, Map.of(), "empty");
        SimulatedDirectory disk = new SimulatedDirectory();
        Map<String, byte[]> committed = new TreeMap<>();
        try (KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES)) {
            for (int i = 0; i < 3; i++) {
                store.commit(changes(i));
                put(committed, changes(i));
            }
        }
        steps += openWithFaultAtEachStep(disk::afterKill, committed, "killed");
        SimulatedDirectory garbage = withTornTail(disk);
        steps += openWithFaultAtEachStep(garbage::afterKill, committed, "torn");
        System.out.println("faults while opening: " + steps + " steps, " + reopenings + " later openings, reported "
                + reportedCodes);
        assertEquals(DISK_ERROR_CODES, reportedCodes);
    }

    /** Adds bytes after the last commit, which opening has to truncate. */
    private static SimulatedDirectory withTornTail(SimulatedDirectory disk) {
        SimulatedDirectory copy = disk.afterKill();
        byte[] bytes = copy.newestFile();
        copy.newestFile(Arrays.copyOf(bytes, bytes.length + 777));
        return copy;
    }

    /**
     * Commits and compacts with the disk failing from one step on; at each of the next steps, and after the fault has
     * ended, the store is reopened as after a kill.
     */
    @Test
    void commitsReturnedBeforeAFaultSurviveEachLaterStep() {
        for (DiskFault diskFault : DiskFault.values()) {
            int steps = 0;
            int generations = 0;
            for (int generation = commitWithFaultFrom(diskFault, 0); generation > 0; ) {
                generations = Math.max(generations, generation);
                generation = commitWithFaultFrom(diskFault, ++steps);
            }
            System.out.println("faults while committing, " + diskFault + ": " + steps + " steps, " + reopenings
                    + " later openings, generations " + generations + ", reported " + reportedCodes);
            assertTrue(generations > 1, "never compacted");
        }
        assertEquals(DISK_ERROR_CODES, reportedCodes);
    }

    /** Returns the generation of the store afterwards; 0 if there is no such step. */
    private int commitWithFaultFrom(DiskFault diskFault, int at) {
        String where = diskFault + " from step " + at;
        SimulatedDirectory disk = new SimulatedDirectory();
        Map<String, byte[]> committed = new TreeMap<>();
        Map<String, byte[]> attempted = new TreeMap<>();
        KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES);
        int[] step = new int[1];
        AssertionError[] firstFailure = new AssertionError[1];
        disk.setBeforeChange(() -> {
            if (step[0] == at) {
                diskFault.set(disk, true);
            }
            if (step[0]++ >= at && step[0] < at + 6) {
                recordFailure(
                        firstFailure,
                        () -> checkReopens(
                                copyWithoutFault(disk, diskFault), committed, attempted, where + ", after a kill"));
            }
        });
        boolean failed = false;
        int number = 0;
        for (; number < COMMITS && !failed; number++) {
            put(attempted, changes(number));
            failed = !tryCommit(store, changes(number), where);
            if (!failed) {
                put(committed, changes(number));
                store.compact();
            }
        }
        if (failed) {
            assertTrue(
                    !tryCommit(store, changes(number), where + ", next commit"),
                    where + ": the next commit succeeded during the fault");
        }
        disk.setBeforeChange(() -> {});
        if (firstFailure[0] != null) {
            throw firstFailure[0];
        }
        diskFault.set(disk, false);
        put(attempted, changes(number));
        store.commit(changes(number));
        put(committed, changes(number));
        assertTrue(sameEntries(contents(store), committed), where + ": the same process reads");
        checkReopensAfterKillAndPowerLoss(disk, committed, committed, where + ", after the fault");
        return step[0] > at ? Integer.parseInt(disk.names().get(0).substring(0, 8), 16) : 0;
    }

    private boolean tryCommit(KeyValueStore store, List<KeyChange> changes, String where) {
        try {
            store.commit(changes);
            return true;
        } catch (StorageException error) {
            assertTrue(DISK_ERROR_CODES.contains(error.code()), where + ": " + error.code());
            reportedCodes.add(error.code());
            return false;
        }
    }

    /** Keeps an assertion error, because one thrown inside a disk operation would be reported as a disk error. */
    private static void recordFailure(AssertionError[] firstFailure, Runnable check) {
        try {
            check.run();
        } catch (AssertionError e) {
            firstFailure[0] = firstFailure[0] == null ? e : firstFailure[0];
        }
    }

    /**
     * Abandons a broken store with a disk error, kill or power loss at any step; it is then either still broken or
     * empty.
     */
    @Test
    void abandoningWithAFaultAtAnyStepLeavesABrokenOrAnEmptyStore() {
        int steps = 0;
        while (abandonWithFaultAt(steps)) {
            steps++;
        }
        System.out.println("faults while abandoning: " + steps + " steps, " + reopenings + " later openings");
        assertTrue(steps >= 4, "too few steps: " + steps);
    }

    private boolean abandonWithFaultAt(int at) {
        SimulatedDirectory disk = new SimulatedDirectory();
        try (KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES)) {
            store.commit(changes(1));
        }
        disk.newestFile(new byte[5_000]);
        int[] step = new int[1];
        disk.setBeforeChange(() -> disk.setFailing(step[0]++ == at));
        try {
            KeyValueStore.abandon(disk);
        } catch (StorageException error) {
            assertEquals("storage.refused", error.code(), "step " + at);
        }
        disk.setBeforeChange(() -> {});
        disk.setFailing(false);
        checkBrokenOrEmpty(disk.afterKill(), "abandoned until step " + at + ", after a kill");
        for (SimulatedDirectory afterPowerLoss : disk.afterPowerLosses(random)) {
            checkBrokenOrEmpty(afterPowerLoss, "abandoned until step " + at + ", after power loss");
        }
        return step[0] > at;
    }

    private void checkBrokenOrEmpty(SimulatedDirectory disk, String where) {
        try {
            KeyValueStore.open(disk, SMALL_COMPACTION_BYTES).close();
        } catch (StorageException error) {
            assertEquals("storage.broken", error.code(), where);
            KeyValueStore.abandon(disk);
        }
        checkReopens(disk, Map.of(), Map.of(), where);
    }
}
