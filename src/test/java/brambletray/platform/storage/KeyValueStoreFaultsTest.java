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
 * A disk that refuses from one step on, at each step of opening, of abandoning, and of commits with their compaction:
 * what the caller is
 * told, what a kill or a loss of power finds at each later step, and that the store works again once there is room.
 */
class KeyValueStoreFaultsTest {
    private static final int SEED = 20_262;
    /** Bytes of files that a store of these tests is allowed, so that it is compacted soon. */
    private static final long SMALL_COMPACTION_BYTES = 64 << 10;
    /** Bytes of one value of these tests. */
    private static final int VALUE_BYTES = 20_000;

    private static final int COMMITS = 8;
    private static final Set<String> DISK_ERROR_CODES = Set.of("storage.full", "storage.refused");

    /** How a disk refuses. */
    private enum DiskFault {
        /** No room: nothing is written or made longer; syncs, cuts and removals go on. */
        FULL {
            @Override
            void set(SimulatedDirectory disk, boolean now) {
                disk.setFull(now);
            }
        },
        /** Nothing that changes the disk is done. */
        ALL_CHANGES {
            @Override
            void set(SimulatedDirectory disk, boolean now) {
                disk.setFailing(now);
            }
        };

        abstract void set(SimulatedDirectory disk, boolean now);
    }

    private final Random random = new Random(SEED);
    private final Set<String> reportedCodes = new TreeSet<>();
    private int reopenings;

    @BeforeAll
    static void muteLog() {
        Logger.getLogger("trove").setLevel(Level.OFF);
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

    /** Opens on a disk that may refuse; null, with the code noted, if it does. */
    private KeyValueStore tryOpen(SimulatedDirectory disk, String where) {
        try {
            return KeyValueStore.open(disk, SMALL_COMPACTION_BYTES);
        } catch (StorageException fault) {
            assertTrue(DISK_ERROR_CODES.contains(fault.code()), where + ": " + fault.code());
            reportedCodes.add(fault.code());
            return null;
        }
    }

    /** Opened with room, it holds this or that, and takes another commit that lasts. */
    private void checkReopens(
            SimulatedDirectory disk, Map<String, byte[]> kept, Map<String, byte[]> tried, String where) {
        reopenings++;
        try (KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES)) {
            Map<String, byte[]> found = contents(store);
            assertTrue(sameEntries(found, kept) || sameEntries(found, tried), where + ": holds " + found.keySet());
            store.commit(List.of(new KeyChange("after", new byte[] {1})));
        } catch (StorageException fault) {
            throw new AssertionError(where + ": " + fault.code(), fault);
        }
        try (KeyValueStore store = KeyValueStore.open(disk.afterPowerLoss(random), SMALL_COMPACTION_BYTES)) {
            assertArrayEquals(new byte[] {1}, store.get("after"), where);
        }
    }

    private void checkReopensAfterKillAndPowerLoss(
            SimulatedDirectory disk, Map<String, byte[]> kept, Map<String, byte[]> tried, String where) {
        checkReopens(disk.afterKill(), kept, tried, where + ", killed");
        for (SimulatedDirectory dark : disk.afterPowerLosses(random)) {
            checkReopens(dark, kept, tried, where + ", dark");
        }
    }

    /** Opening with the disk refusing from step {@code at} on; false if there is no such step. */
    private boolean openWithFaultFrom(
            Supplier<SimulatedDirectory> found, Map<String, byte[]> kept, DiskFault refusal, int at, String name) {
        SimulatedDirectory disk = found.get();
        String where = name + ", " + refusal + " from step " + at;
        int[] step = new int[1];
        disk.setBeforeChange(() -> {
            if (step[0]++ == at) {
                refusal.set(disk, true);
            }
        });
        KeyValueStore opened = tryOpen(disk, where);
        disk.setBeforeChange(() -> {});
        if (opened != null) {
            assertTrue(sameEntries(contents(opened), kept), where + ": reads");
            opened.close();
        }
        checkReopensAfterKillAndPowerLoss(copyWithoutFault(disk, refusal), kept, kept, where);
        refusal.set(disk, false);
        checkReopens(disk, kept, kept, where + ", with room again");
        return step[0] > at;
    }

    /** The same disk as another process or a later moment finds it: it refuses nothing. */
    private static SimulatedDirectory copyWithoutFault(SimulatedDirectory disk, DiskFault refusal) {
        refusal.set(disk, false);
        SimulatedDirectory copy = disk.afterKill();
        refusal.set(disk, true);
        return copy;
    }

    private int openWithFaultAtEachStep(Supplier<SimulatedDirectory> found, Map<String, byte[]> kept, String name) {
        int steps = 0;
        for (DiskFault refusal : DiskFault.values()) {
            for (int at = 0; openWithFaultFrom(found, kept, refusal, at, name); at++) {
                steps++;
            }
        }
        return steps;
    }

    /**
     * The first opening, on an empty disk; and that of what a kill or a loss of power left in the middle of a commit.
     */
    @Test
    void openingWithAFaultAtAnyStepReportsItAndLosesNothing() {
        int steps = openWithFaultAtEachStep(SimulatedDirectory::new, Map.of(), "empty");
        SimulatedDirectory disk = new SimulatedDirectory();
        Map<String, byte[]> kept = new TreeMap<>();
        try (KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES)) {
            for (int i = 0; i < 3; i++) {
                store.commit(changes(i));
                put(kept, changes(i));
            }
        }
        steps += openWithFaultAtEachStep(disk::afterKill, kept, "killed");
        SimulatedDirectory garbage = withTornTail(disk);
        steps += openWithFaultAtEachStep(garbage::afterKill, kept, "torn");
        System.out.println(
                "refused while it opens: " + steps + " steps, " + reopenings + " openings afterwards, told " + reportedCodes);
        assertEquals(DISK_ERROR_CODES, reportedCodes);
    }

    /** Bytes behind the last commit: opening has to cut them off. */
    private static SimulatedDirectory withTornTail(SimulatedDirectory disk) {
        SimulatedDirectory copy = disk.afterKill();
        byte[] bytes = copy.newestFile();
        copy.newestFile(Arrays.copyOf(bytes, bytes.length + 777));
        return copy;
    }

    /**
     * Commits and compactions with the disk refusing from a step on; at each further step the process is killed or the
     * power goes.
     */
    @Test
    void commitsReturnedBeforeAFaultSurviveEachLaterStep() {
        for (DiskFault refusal : DiskFault.values()) {
            int steps = 0;
            int generations = 0;
            for (int generation = commitWithFaultFrom(refusal, 0); generation > 0; ) {
                generations = Math.max(generations, generation);
                generation = commitWithFaultFrom(refusal, ++steps);
            }
            System.out.println("refused while it commits, " + refusal + ": " + steps + " steps, " + reopenings
                    + " openings afterwards, generations " + generations + ", told " + reportedCodes);
            assertTrue(generations > 1, "never compacted");
        }
        assertEquals(DISK_ERROR_CODES, reportedCodes);
    }

    /** Returns the generation of the store afterwards; 0 if there is no such step. */
    private int commitWithFaultFrom(DiskFault refusal, int at) {
        String where = refusal + " from step " + at;
        SimulatedDirectory disk = new SimulatedDirectory();
        Map<String, byte[]> kept = new TreeMap<>();
        Map<String, byte[]> tried = new TreeMap<>();
        KeyValueStore store = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES);
        int[] step = new int[1];
        AssertionError[] first = new AssertionError[1];
        disk.setBeforeChange(() -> {
            if (step[0] == at) {
                refusal.set(disk, true);
            }
            if (step[0]++ >= at && step[0] < at + 6) {
                recordFailure(first, () -> checkReopens(copyWithoutFault(disk, refusal), kept, tried, where + ", killed"));
            }
        });
        boolean refused = false;
        int number = 0;
        for (; number < COMMITS && !refused; number++) {
            put(tried, changes(number));
            refused = !tryCommit(store, changes(number), where);
            if (!refused) {
                put(kept, changes(number));
                store.compact();
            }
        }
        if (refused) {
            assertTrue(!tryCommit(store, changes(number), where + ", once more"), where + ": taken though refused");
        }
        disk.setBeforeChange(() -> {});
        if (first[0] != null) {
            throw first[0];
        }
        refusal.set(disk, false);
        put(tried, changes(number));
        store.commit(changes(number));
        put(kept, changes(number));
        assertTrue(sameEntries(contents(store), kept), where + ": the same process reads");
        checkReopensAfterKillAndPowerLoss(disk, kept, kept, where + ", with room again");
        return step[0] > at ? Integer.parseInt(disk.names().get(0).substring(0, 8), 16) : 0;
    }

    private boolean tryCommit(KeyValueStore store, List<KeyChange> changes, String where) {
        try {
            store.commit(changes);
            return true;
        } catch (StorageException fault) {
            assertTrue(DISK_ERROR_CODES.contains(fault.code()), where + ": " + fault.code());
            reportedCodes.add(fault.code());
            return false;
        }
    }

    /** What is thrown within a step of the store would come out as a fault of the disk. */
    private static void recordFailure(AssertionError[] first, Runnable check) {
        try {
            check.run();
        } catch (AssertionError e) {
            first[0] = first[0] == null ? e : first[0];
        }
    }

    /**
     * A broken store is given up: refused, killed or dark at any step, the next opening finds it broken still, or
     * empty.
     */
    @Test
    void abandoningWithAFaultAtAnyStepLeavesABrokenOrAnEmptyStore() {
        int steps = 0;
        while (abandonWithFaultAt(steps)) {
            steps++;
        }
        System.out.println("refused while it is abandoned: " + steps + " steps, " + reopenings + " openings afterwards");
        assertTrue(steps >= 4, "hardly a step");
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
        } catch (StorageException fault) {
            assertEquals("storage.refused", fault.code(), "step " + at);
        }
        disk.setBeforeChange(() -> {});
        disk.setFailing(false);
        checkBrokenOrEmpty(disk.afterKill(), "abandoned until step " + at + ", killed");
        for (SimulatedDirectory dark : disk.afterPowerLosses(random)) {
            checkBrokenOrEmpty(dark, "abandoned until step " + at + ", dark");
        }
        return step[0] > at;
    }

    private void checkBrokenOrEmpty(SimulatedDirectory disk, String where) {
        try {
            KeyValueStore.open(disk, SMALL_COMPACTION_BYTES).close();
        } catch (StorageException fault) {
            assertEquals("storage.broken", fault.code(), where);
            KeyValueStore.abandon(disk);
        }
        checkReopens(disk, Map.of(), Map.of(), where);
    }
}
