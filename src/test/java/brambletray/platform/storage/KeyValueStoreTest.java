package brambletray.platform.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class KeyValueStoreTest {
    private static final int SEED = 20_261;
    /** Low compaction threshold in bytes, so that the store is compacted early. */
    private static final long SMALL_COMPACTION_BYTES = 512 << 10;
    /** Number of steps for which the disk is full in {@link #diskErrorAtAnyStepKeepsAllReturnedCommits}. */
    private static final int DISK_FULL_STEPS = 6;

    /** Entries after all commits that have returned. */
    private final Map<String, byte[]> committed = new TreeMap<>();
    /** The same, with the commit in progress applied. */
    private Map<String, byte[]> attempted = new TreeMap<>();

    @BeforeAll
    static void muteLog() {
        Logger.getLogger("storage").setLevel(Level.OFF);
    }

    private void commit(KeyValueStore keyValueStore, KeyChange... changes) {
        attempted = new TreeMap<>(committed);
        for (KeyChange change : changes) {
            if (change.value() == null) {
                attempted.remove(change.key());
            } else {
                attempted.put(change.key(), change.value());
            }
        }
        keyValueStore.commit(List.of(changes));
        committed.clear();
        committed.putAll(attempted);
    }

    private static boolean contains(KeyValueStore keyValueStore, Map<String, byte[]> expected) {
        List<Map.Entry<String, byte[]>> all = keyValueStore.prefix("");
        return all.size() == expected.size()
                && all.stream().allMatch(e -> Arrays.equals(e.getValue(), expected.get(e.getKey())));
    }

    private static byte[] value(Random random, int length) {
        byte[] value = new byte[length];
        random.nextBytes(value);
        return value;
    }

    private void runRandomCommits(KeyValueStore keyValueStore, Random random, int commits, int longest) {
        for (int i = 0; i < commits; i++) {
            List<KeyChange> changes = new ArrayList<>();
            for (int j = random.nextInt(3); j >= 0; j--) {
                changes.add(new KeyChange(
                        "key-" + random.nextInt(6),
                        random.nextInt(8) == 0 ? null : value(random, random.nextInt(longest))));
            }
            changes.add(new KeyChange("number", new byte[] {(byte) i, (byte) (i >> 8)}));
            commit(keyValueStore, changes.toArray(new KeyChange[0]));
            keyValueStore.compact();
        }
    }

    @Test
    void reopensWithExactlyTheCommittedEntries(@TempDir Path dir) {
        Random random = new Random(SEED);
        try (KeyValueStore keyValueStore = KeyValueStore.open(dir)) {
            commit(
                    keyValueStore,
                    new KeyChange("a.1", value(random, 3)),
                    new KeyChange("a.2", value(random, 700_000)),
                    new KeyChange("b", new byte[0]));
            commit(
                    keyValueStore,
                    new KeyChange("a.1", value(random, 9)),
                    new KeyChange("a.1", null),
                    new KeyChange("c", value(random, 5)));
            commit(keyValueStore, new KeyChange("a.2", value(random, 300_000)));
            assertNull(keyValueStore.get("a.1"));
            assertEquals(
                    List.of("a.2"),
                    keyValueStore.prefix("a.").stream().map(Map.Entry::getKey).toList());
        }
        try (KeyValueStore again = KeyValueStore.open(dir)) {
            assertTrue(contains(again, committed));
            assertEquals(4, again.commitCount());
        }
    }

    @Test
    void aCopyOfTheDirectoryContainsAllCommits(@TempDir Path dir, @TempDir Path copy) throws Exception {
        try (KeyValueStore keyValueStore = KeyValueStore.open(dir)) {
            runRandomCommits(keyValueStore, new Random(SEED), 30, 90_000);
            try (Stream<Path> files = Files.list(dir)) {
                for (Path file : files.toList()) {
                    Files.copy(file, copy.resolve(file.getFileName()));
                }
            }
            try (KeyValueStore other = KeyValueStore.open(copy)) {
                assertTrue(contains(other, committed));
            }
        }
    }

    @Test
    void compactionBoundsDiskUseOverTenThousandCommits() {
        SimulatedDirectory disk = new SimulatedDirectory();
        Random random = new Random(SEED);
        long maxBytes = 0;
        try (KeyValueStore keyValueStore = KeyValueStore.open(disk)) {
            byte[] value = value(random, 20_000);
            for (int i = 0; i < 10_000; i++) {
                value[i % value.length]++;
                keyValueStore.commit(List.of(new KeyChange("key-" + i % 5, value.clone())));
                keyValueStore.compact();
                maxBytes = Math.max(maxBytes, disk.bytes());
            }
            assertArrayEquals(value, keyValueStore.get("key-4"));
        }
        assertTrue(maxBytes < 12 << 20, "disk use reached " + maxBytes);
    }

    /**
     * Power loss at any step: during commits, at file boundaries, between generations, and while recovering from a
     * power loss.
     */
    @Test
    void powerLossKeepsAllReturnedCommits() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        int[] steps = new int[2];
        disk.setBeforeChange(() -> {
            if (steps[0]++ < 24 || random.nextInt(7) == 0) {
                steps[1]++;
                String where = "seed " + SEED + " step " + steps[0];
                checkReopens(disk.afterKill(), random, where + " after a kill");
                checkReopens(disk.afterPowerLoss(random), random, where + " after power loss");
            }
        });
        runRandomCommits(KeyValueStore.open(disk), new Random(SEED), 60, 400_000);
        assertTrue(steps[1] > 60, "too few power losses: " + steps[1]);
    }

    private void checkReopens(SimulatedDirectory found, Random random, String where) {
        try (KeyValueStore again = KeyValueStore.open(found)) {
            assertTrue(contains(again, committed) || contains(again, attempted), where);
            again.commit(List.of(new KeyChange("after", new byte[] {1})));
            assertEquals(
                    1,
                    found.names().stream()
                            .filter(name -> name.endsWith(".xd"))
                            .map(name -> name.substring(0, 8))
                            .distinct()
                            .count(),
                    "generations, " + where);
        } catch (StorageException e) {
            throw new AssertionError(where, e);
        }
        try (KeyValueStore third = KeyValueStore.open(found.afterPowerLoss(random))) {
            assertArrayEquals(new byte[] {1}, third.get("after"), where);
        }
    }

    /**
     * At each step of opening, appending, starting a new file and compacting, the process is killed, or the power is
     * lost with every subset of the unsynced changes of the directory. The store then opens with all commits that
     * returned, with or without the commit in progress. Once a process has opened it, a power loss undoes nothing that
     * it has read.
     */
    @Test
    void powerLossWithAnySubsetOfUnsyncedNamesKeepsAllReturnedCommits() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        int[] counts = new int[5];
        // An assertion error thrown inside a disk operation would be reported as a disk error, so it is kept for later.
        AssertionError[] firstFailure = new AssertionError[1];
        disk.setBeforeChange(() -> {
            String where = "seed " + SEED + " step " + counts[0]++;
            counts[3] = Math.max(counts[3], disk.unsyncedNames().size());
            try {
                for (SimulatedDirectory found :
                        firstFailure[0] != null ? List.<SimulatedDirectory>of() : disk.afterPowerLosses(random)) {
                    counts[1]++;
                    checkLastOrPendingCommit(found, where + " after power loss");
                }
                checkAfterKill(disk.afterKill(), random, where + " after a kill", counts);
            } catch (AssertionError e) {
                firstFailure[0] = firstFailure[0] == null ? e : firstFailure[0];
            }
        });
        try (KeyValueStore keyValueStore = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES)) {
            runRandomCommits(keyValueStore, new Random(SEED), 24, 100_000);
            counts[4] = Integer.parseInt(disk.names().get(0).substring(0, 8), 16);
        }
        if (firstFailure[0] != null) {
            throw firstFailure[0];
        }
        System.out.println("store: " + counts[0] + " steps, " + counts[1] + " losses of power, " + counts[2]
                + " after a kill, at most " + counts[3] + " unsynced names" + ", generations " + counts[4]);
        assertTrue(counts[4] > 2, "too few compactions: generation " + counts[4]);
        assertTrue(counts[3] >= 2, "too few unsynced names: " + counts[3]);
    }

    /**
     * The disk fails at one step, or is full for several steps from there. Failed commits report an error, and after a
     * power loss all other commits are found.
     */
    @Test
    void diskErrorAtAnyStepKeepsAllReturnedCommits() {
        Random random = new Random(SEED);
        int steps = Integer.MAX_VALUE;
        int[] counts = new int[3];
        for (int at = 0; at < steps; at++) {
            for (int faultSteps = 1; faultSteps <= DISK_FULL_STEPS; faultSteps += DISK_FULL_STEPS - 1) {
                steps = runWithFailingSteps(at, faultSteps, random, counts);
            }
        }
        System.out.println("store: failed at each of " + steps + " steps, " + counts[0] + " errors reported, "
                + counts[1] + " losses of power");
        assertTrue(counts[0] > steps, "too few errors reported: " + counts[0]);
        assertTrue(counts[2] > steps, "too few compactions: " + counts[2]);
    }

    private int runWithFailingSteps(int at, int faultSteps, Random random, int[] counts) {
        committed.clear();
        attempted = new TreeMap<>();
        SimulatedDirectory disk = new SimulatedDirectory();
        int[] step = new int[1];
        KeyValueStore keyValueStore = KeyValueStore.open(disk, SMALL_COMPACTION_BYTES / 4);
        runRandomCommits(keyValueStore, new Random(SEED), 7, 5_000);
        disk.setBeforeChange(() -> {
            boolean now = step[0] >= at && step[0] < at + faultSteps;
            disk.setFailing(now && faultSteps != DISK_FULL_STEPS);
            disk.setFull(now && faultSteps == DISK_FULL_STEPS);
            step[0]++;
        });
        Random values = new Random(SEED + 1);
        int checks = 0;
        for (int i = 0; i < 14; i++) {
            boolean faultActive = step[0] >= at && checks < 2;
            String where = "seed " + SEED + " disk fault at step " + at + " for " + faultSteps + " steps, commit " + i;
            KeyChange[] changes = {
                new KeyChange("key-0", value(values, 60_000)), new KeyChange("number", new byte[] {(byte) i})
            };
            for (boolean done = false; !done; ) {
                try {
                    commit(keyValueStore, changes);
                    done = true;
                } catch (StorageException e) {
                    counts[0]++;
                    assertTrue(e.code().equals("storage.refused") || e.code().equals("storage.full"), where + e);
                    checkPowerLosses(disk, random, where + " failed", counts);
                }
            }
            assertTrue(contains(keyValueStore, committed), where);
            keyValueStore.compact();
            if (faultActive) {
                checks++;
                checkPowerLosses(disk, random, where, counts);
            }
        }
        counts[2] += disk.names().get(0).compareTo("00000002") > 0 ? 1 : 0;
        return step[0];
    }

    private void checkPowerLosses(SimulatedDirectory disk, Random random, String where, int[] counts) {
        for (SimulatedDirectory found : disk.afterPowerLosses(random)) {
            counts[1]++;
            checkLastOrPendingCommit(found, where + " after power loss");
        }
    }

    /** Reopens the store after a kill, with a power loss at each step of that and after it. */
    private void checkAfterKill(SimulatedDirectory found, Random random, String where, int[] counts) {
        found.setBeforeChange(() -> {
            for (SimulatedDirectory later : found.afterPowerLosses(random)) {
                counts[2]++;
                checkLastOrPendingCommit(later, where + ", then power loss while it opens");
            }
        });
        Map<String, byte[]> read = new TreeMap<>();
        try (KeyValueStore again = KeyValueStore.open(found, SMALL_COMPACTION_BYTES)) {
            assertTrue(contains(again, committed) || contains(again, attempted), where);
            again.prefix("").forEach(entry -> read.put(entry.getKey(), entry.getValue()));
            checkContentsAfterPowerLosses(found, read, random, where + ", then power loss after reading", counts);
            found.setBeforeChange(() -> {});
            again.commit(List.of(new KeyChange("after", new byte[] {1})));
            read.put("after", new byte[] {1});
            checkContentsAfterPowerLosses(found, read, random, where + ", then a commit and power loss", counts);
        } catch (StorageException e) {
            throw new AssertionError(where, e);
        }
    }

    private static void checkContentsAfterPowerLosses(
            SimulatedDirectory disk, Map<String, byte[]> expected, Random random, String where, int[] counts) {
        for (SimulatedDirectory found : disk.afterPowerLosses(random)) {
            counts[2]++;
            try (KeyValueStore again = KeyValueStore.open(found, SMALL_COMPACTION_BYTES)) {
                assertTrue(contains(again, expected), where);
            } catch (StorageException e) {
                throw new AssertionError(where, e);
            }
        }
    }

    private void checkLastOrPendingCommit(SimulatedDirectory found, String where) {
        try (KeyValueStore again = KeyValueStore.open(found, SMALL_COMPACTION_BYTES)) {
            assertTrue(contains(again, committed) || contains(again, attempted), where);
        } catch (StorageException e) {
            throw new AssertionError(where, e);
        }
    }

    @Test
    void truncatesGarbageAfterTheLastCommit() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        runRandomCommits(KeyValueStore.open(disk), random, 20, 40_000);
        for (int i = 0; i < 90; i++) {
            SimulatedDirectory copy = disk.afterKill();
            byte[] bytes = copy.newestFile();
            byte[] longer = Arrays.copyOf(bytes, bytes.length + 1 + random.nextInt(30_000));
            if (i % 3 > 0) {
                byte[] garbage = i % 3 == 1
                        ? value(random, longer.length - bytes.length)
                        : Arrays.copyOfRange(bytes, Math.max(0, 2 * bytes.length - longer.length), bytes.length);
                System.arraycopy(garbage, 0, longer, bytes.length, garbage.length);
            }
            copy.newestFile(longer);
            try (KeyValueStore again = KeyValueStore.open(copy)) {
                assertTrue(contains(again, committed), "seed " + SEED + " case " + i);
            }
        }
    }

    @Test
    void fallsBackToThePreviousCommitIfTheLastIsTorn() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        KeyValueStore keyValueStore = KeyValueStore.open(disk);
        runRandomCommits(keyValueStore, random, 20, 40_000);
        Map<String, byte[]> before = new TreeMap<>(committed);
        int end = disk.newestFile().length;
        commit(keyValueStore, new KeyChange("key-1", value(random, 30_000)), new KeyChange("number", new byte[1]));
        for (int at = end; at < disk.newestFile().length; at += 391) {
            SimulatedDirectory copy = disk.afterKill();
            byte[] bytes = copy.newestFile().clone();
            Arrays.fill(bytes, at, Math.min(bytes.length, at + 50), (byte) 0);
            copy.newestFile(bytes);
            try (KeyValueStore again = KeyValueStore.open(copy)) {
                assertTrue(contains(again, before) || contains(again, committed), "hole at " + (at - end));
            }
        }
    }

    @Test
    void aFullDiskFailsOnlyTheCommit() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        KeyValueStore keyValueStore = KeyValueStore.open(disk);
        runRandomCommits(keyValueStore, random, 10, 10_000);
        disk.setCapacity(disk.bytes() + 50_000);
        StorageException fault =
                assertThrows(StorageException.class, () -> runRandomCommits(keyValueStore, random, 100, 10_000));
        assertEquals("storage.full", fault.code());
        assertTrue(contains(keyValueStore, committed));
        assertTrue(contains(KeyValueStore.open(disk.afterKill()), committed));
        disk.setCapacity(Long.MAX_VALUE);
        runRandomCommits(keyValueStore, random, 10, 10_000);
        assertTrue(contains(KeyValueStore.open(disk.afterPowerLoss(random)), committed));
    }

    /**
     * A process that is restarted while its disk is full can read its data, fails to commit, and commits again once
     * space is freed.
     */
    @Test
    void opensAndReadsOnAFullDiskAndCommitsOnceSpaceIsFreed() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        runRandomCommits(KeyValueStore.open(disk), random, 30, 40_000);
        for (SimulatedDirectory found : List.of(disk.afterKill(), disk.afterPowerLoss(random))) {
            found.setFull(true);
            try (KeyValueStore keyValueStore = KeyValueStore.open(found)) {
                assertTrue(contains(keyValueStore, committed));
                for (int i = 0; i < 3; i++) {
                    List<KeyChange> more = List.of(new KeyChange("x", new byte[9]));
                    assertEquals(
                            "storage.full",
                            assertThrows(StorageException.class, () -> keyValueStore.commit(more))
                                    .code());
                }
                assertTrue(contains(keyValueStore, committed));
                found.setFull(false);
                keyValueStore.commit(List.of(new KeyChange("x", new byte[9])));
            }
            assertArrayEquals(
                    new byte[9],
                    KeyValueStore.open(found.afterPowerLoss(random)).get("x"));
        }
    }

    @Test
    void commitsAgainAfterTemporaryDiskErrors() {
        Random random = new Random(SEED);
        SimulatedDirectory disk = new SimulatedDirectory();
        KeyValueStore keyValueStore = KeyValueStore.open(disk);
        runRandomCommits(keyValueStore, random, 10, 10_000);
        disk.setFailing(true);
        for (int i = 0; i < 3; i++) {
            StorageException fault =
                    assertThrows(StorageException.class, () -> runRandomCommits(keyValueStore, random, 1, 10_000));
            assertEquals("storage.refused", fault.code());
        }
        disk.setFailing(false);
        runRandomCommits(keyValueStore, random, 10, 10_000);
        assertTrue(contains(keyValueStore, committed));
        assertTrue(contains(KeyValueStore.open(disk.afterPowerLoss(random)), committed));
    }

    @Test
    void anUnreadableStoreIsBrokenAndCanBeAbandoned(@TempDir Path dir) throws Exception {
        try (KeyValueStore keyValueStore = KeyValueStore.open(dir)) {
            runRandomCommits(keyValueStore, new Random(SEED), 5, 1_000);
        }
        try (Stream<Path> files = Files.list(dir)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".xd")).toList()) {
                Files.write(file, new byte[5_000]);
            }
        }
        assertEquals(
                "storage.broken",
                assertThrows(StorageException.class, () -> KeyValueStore.open(dir))
                        .code());
        KeyValueStore.abandon(dir);
        try (KeyValueStore keyValueStore = KeyValueStore.open(dir)) {
            assertTrue(contains(keyValueStore, Map.of()));
        }
    }
}
