package brambletray.relay.store;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Crashes, cuts and damage at every place of a scripted life. By default in part, so that it takes seconds;
 * {@code -Dtorture=full} plays all of it.
 */
class StoreTortureTest {
    private static final boolean FULL = "full".equals(System.getProperty("torture"));
    /** Cases by kind, and the kind under way. */
    private static final java.util.TreeMap<String, Long> CASES = new java.util.TreeMap<>();

    private static String kind = "";

    @AfterAll
    static void count() {
        System.out.println("store torture" + (FULL ? " (full): " : ": ") + CASES);
    }

    private static final class Stop extends IOException {
        private static final long serialVersionUID = 1L;

        Stop() {
            super("the process is killed here");
        }
    }

    /** Kills the process before an operation; a write is killed in its middle. */
    private static MemoryDisk.Fault killAt(int operation, MemoryDisk disk, SplittableRandom random) {
        int[] count = {0};
        return (what, name, bytes) -> {
            if (count[0]++ == operation) {
                disk.die();
                if (what.equals("write")) {
                    throw new MemoryDisk.PartlyWritten(random.nextInt((int) bytes + 1));
                }
                throw new Stop();
            }
        };
    }

    private static int operations(long seed, Store.Promise promise, int batches) throws IOException {
        MemoryDisk disk = new MemoryDisk();
        int[] count = {0};
        disk.fault((what, name, bytes) -> count[0]++);
        Life life = new Life(seed, promise);
        life.run(disk, batches);
        return count[0];
    }

    /** What a store must hold after a crash: all that was acknowledged, and at most the batch under way besides. */
    private static void holds(Life life, Store store, String where) throws IOException {
        Life.State state = Life.read(store);
        CASES.merge(kind, 1L, Long::sum);
        if (!state.equals(life.last()) && !state.equals(life.underWay)) {
            fail(where + ": holds " + state.chains().keySet() + ", acknowledged "
                    + life.last().chains().keySet()
                    + ", under way "
                    + (life.underWay == null ? null : life.underWay.chains().keySet()) + "; "
                    + store.found().damages());
        }
        assertEquals(0, store.found().doubtful(), where + ": " + store.found().damages());
    }

    /** A kill at every single operation, and a second one at every operation of the recovery from the first. */
    @ParameterizedTest
    @EnumSource(Store.Promise.class)
    void aKillAtEveryOperationAndAnotherAtEachOfTheRecovery(Store.Promise promise) throws IOException {
        kind = "killed twice, " + promise;
        int batches = FULL ? 400 : 120;
        int all = operations(5, promise, batches);
        for (int at = 0; at < all; at += FULL ? 1 : 3) {
            SplittableRandom random = new SplittableRandom(at);
            MemoryDisk disk = new MemoryDisk();
            disk.fault(killAt(at, disk, random));
            Life life = new Life(5, promise);
            try {
                life.run(disk, batches);
            } catch (IOException e) {
                // Killed.
            }
            MemoryDisk after = disk.killed();
            for (int second = 0; second < 40; second++) {
                MemoryDisk again = after.killed();
                again.fault(killAt(second, again, random));
                try {
                    Store.open(again, Life.options(promise));
                    second = 40;
                } catch (IOException e) {
                    again = again.killed();
                }
                MemoryDisk last = again.killed();
                try (Store store = Store.open(last, Life.options(promise))) {
                    holds(life, store, "killed at " + at + ", then at " + second);
                    Life.State first = Life.read(store);
                    store.close();
                    try (Store same = Store.open(last.killed(), Life.options(promise))) {
                        assertEquals(first, Life.read(same), "recovery is not idempotent");
                    }
                }
            }
        }
    }

    /** A power cut before every operation: what was not synced is lost or kept in any subset. */
    @Test
    void aPowerCutAtEveryOperation() throws IOException {
        kind = "power cut";
        int batches = FULL ? 300 : 100;
        int all = operations(6, Store.Promise.MACHINE, batches);
        for (int at = 0; at < all; at += FULL ? 1 : 3) {
            for (int draw = 0; draw < (FULL ? 30 : 6); draw++) {
                SplittableRandom random = new SplittableRandom(at * 1_000L + draw);
                MemoryDisk disk = new MemoryDisk();
                disk.fault(killAt(at, disk, random));
                Life life = new Life(6, Store.Promise.MACHINE);
                try {
                    life.run(disk, batches);
                } catch (IOException e) {
                    // Cut.
                }
                MemoryDisk left = disk.cut(random);
                try (Store store = Store.open(left, Life.options(Store.Promise.MACHINE))) {
                    holds(life, store, "power cut at " + at + ", draw " + draw);
                }
                // A second cut in the recovery from the first.
                MemoryDisk again = disk.cut(random);
                again.fault(killAt(random.nextInt(12), again, random));
                try {
                    Store.open(again, Life.options(Store.Promise.MACHINE));
                } catch (IOException e) {
                    // Cut again.
                }
                try (Store store = Store.open(again.cut(random), Life.options(Store.Promise.MACHINE))) {
                    holds(life, store, "second power cut after " + at + ", draw " + draw);
                }
            }
        }
    }

    /**
     * Nothing that damage may have hidden is taken for the whole truth: what is not doubtful is exactly what was,
     * and what is missing was told of. Or the store says that it cannot be trusted.
     */
    private static void hidesNothing(Life.State truth, MemoryDisk damaged, String where) throws IOException {
        CASES.merge(kind, 1L, Long::sum);
        Life.State state;
        try (Store store = Store.open(damaged, Life.options(Store.Promise.PROCESS))) {
            Set<Long> sure = new HashSet<>();
            state = Life.read(store);
            for (Chain chain : store.chains(Life.SPACE)) {
                if (!chain.doubtful()) {
                    sure.add(chain.key());
                    assertEquals(
                            truth.chains().get(chain.key()),
                            state.chains().get(chain.key()),
                            where + ": key " + chain.key() + " is held for certain; "
                                    + store.found().damages());
                }
            }
            boolean hole = store.found().damages().stream().anyMatch(d -> d.kind() == Damage.Kind.HOLE);
            if (!hole) {
                assertEquals(truth, state, where + ": " + store.found().damages());
            }
        } catch (UntrustedStore e) {
            assertFalse(e.getMessage().contains("\n"), e.getMessage());
            return;
        }
        // Once more: the doubt is not forgotten, and the state is the same.
        try (Store again = Store.open(damaged.killed(), Life.options(Store.Promise.PROCESS))) {
            assertEquals(state, Life.read(again), where + ": second recovery differs");
            for (Chain chain : again.chains(Life.SPACE)) {
                if (!chain.doubtful()) {
                    assertEquals(
                            truth.chains().get(chain.key()),
                            state.chains().get(chain.key()),
                            where + ": doubt about key " + chain.key() + " is forgotten; "
                                    + again.found().damages());
                }
            }
        }
    }

    private static MemoryDisk lived(Life life, int batches) throws IOException {
        MemoryDisk disk = new MemoryDisk();
        life.run(disk, batches);
        life.store.close();
        return disk;
    }

    /** Each file cut at every offset. */
    @Test
    void everyFileCutAtEveryByte() throws IOException {
        kind = "file cut";
        Life life = new Life(7, Store.Promise.PROCESS);
        MemoryDisk disk = lived(life, 60);
        for (String name : disk.list()) {
            byte[] bytes = disk.bytes(name);
            for (int length = 0; length < bytes.length; length += FULL || bytes.length < 4_000 ? 1 : 7) {
                MemoryDisk damaged = disk.killed();
                damaged.damage(name, Arrays.copyOf(bytes, length));
                hidesNothing(life.last(), damaged, name + " cut at " + length);
            }
            MemoryDisk damaged = disk.killed();
            damaged.damage(name, null);
            hidesNothing(life.last(), damaged, name + " missing");
        }
    }

    /** Each byte altered; each bit of it in the full run. */
    @Test
    void everyByteAltered() throws IOException {
        kind = "byte altered";
        Life life = new Life(8, Store.Promise.PROCESS);
        MemoryDisk disk = lived(life, 60);
        for (String name : disk.list()) {
            byte[] bytes = disk.bytes(name);
            for (int at = 0; at < bytes.length; at += FULL || bytes.length < 4_000 ? 1 : 5) {
                for (int bit = 0; bit < 8; bit += FULL ? 1 : 8) {
                    byte[] altered = bytes.clone();
                    altered[at] ^= (byte) (1 << (FULL ? bit : at % 8));
                    MemoryDisk damaged = disk.killed();
                    damaged.damage(name, altered);
                    hidesNothing(life.last(), damaged, name + " altered at " + at);
                }
            }
        }
    }

    /** Blocks zeroed and doubled; segments missing, swapped, or an old one back. */
    @Test
    void blocksAndSegmentsGoneAstray() throws IOException {
        kind = "block or segment astray";
        Life life = new Life(9, Store.Promise.PROCESS);
        MemoryDisk early = new MemoryDisk();
        life.run(early, 200);
        MemoryDisk old = early.killed();
        Life.State truth = life.last();
        List<String> segments = old.list().stream().filter(Layout::isSegment).toList();
        assertTrue(segments.size() > 2, segments.toString());
        for (String name : segments) {
            byte[] bytes = old.bytes(name);
            for (int block = 0; block * 512 < bytes.length; block++) {
                byte[] zeroed = bytes.clone();
                Arrays.fill(zeroed, block * 512, Math.min(bytes.length, block * 512 + 512), (byte) 0);
                MemoryDisk damaged = old.killed();
                damaged.damage(name, zeroed);
                hidesNothing(truth, damaged, name + " block " + block + " zeroed");
                byte[] doubled = bytes.clone();
                int to = Math.min(bytes.length, block * 512 + 512);
                System.arraycopy(bytes, block * 512, doubled, to, Math.min(512, bytes.length - to));
                damaged = old.killed();
                damaged.damage(name, doubled);
                hidesNothing(truth, damaged, name + " block " + block + " doubled");
            }
        }
        for (int i = 0; i + 1 < segments.size(); i++) {
            MemoryDisk damaged = old.killed();
            damaged.damage(segments.get(i), old.bytes(segments.get(i + 1)));
            damaged.damage(segments.get(i + 1), old.bytes(segments.get(i)));
            hidesNothing(truth, damaged, segments.get(i) + " swapped with the next");
        }
        // The life goes on; then each file of before comes back, alone.
        life.store.close();
        Life later = new Life(9, Store.Promise.PROCESS);
        MemoryDisk disk = new MemoryDisk();
        later.run(disk, 215);
        for (String name : old.list()) {
            MemoryDisk damaged = disk.killed();
            damaged.damage(name, old.bytes(name));
            hidesNothing(later.last(), damaged, "old " + name + " back");
        }
    }

    /** An error at every operation, with space again behind it: what was acknowledged stays, and the life goes on. */
    @ParameterizedTest
    @EnumSource(Store.Promise.class)
    void anErrorAtEveryOperation(Store.Promise promise) throws IOException {
        kind = "error, " + promise;
        int batches = 120;
        int all = operations(10, promise, batches);
        for (int at = 0; at < all; at += FULL ? 1 : 3) {
            SplittableRandom random = new SplittableRandom(at);
            MemoryDisk disk = new MemoryDisk();
            int[] count = {0};
            int failing = at;
            disk.fault((what, name, bytes) -> {
                int now = count[0]++;
                if (now == failing || now == failing + 1 && failing % 2 == 0) {
                    if (what.equals("write")) {
                        throw new MemoryDisk.PartlyWritten(random.nextInt((int) bytes + 1));
                    }
                    throw new IOException("input/output error");
                }
            });
            Life life = new Life(10, promise);
            boolean opened = false;
            try {
                life.run(disk, batches);
                opened = true;
            } catch (IOException e) {
                opened = life.store != null;
            }
            if (!opened) {
                continue;
            }
            // The process goes on with the store that it has: a further batch must work, and all of it last.
            disk.fault((what, name, bytes) -> {});
            Chain added = life.store.put(Life.SPACE, 1_000_000, new byte[] {1, 2, 3});
            life.store.commit();
            assertEquals(1, added.size());
            Life.State open = Life.read(life.store);
            MemoryDisk after = promise == Store.Promise.MACHINE ? disk.cut(random) : disk.killed();
            try (Store store = Store.open(after, Life.options(promise))) {
                assertEquals(
                        open,
                        Life.read(store),
                        "error at " + at + ": " + store.found().damages());
                open.chains().remove(1_000_000L);
                assertTrue(open.equals(life.last()) || open.equals(life.underWay), "error at " + at);
                CASES.merge(kind, 1L, Long::sum);
            }
        }
    }

    /** Old and new files together stay within the limit at every operation, also with little room left. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void theLimitHoldsAtEveryInstant(long seed) throws IOException {
        MemoryDisk disk = new MemoryDisk();
        disk.fault((what, name, bytes) -> assertTrue(disk.used() <= Life.LIMIT, disk.used() + " bytes in use"));
        Store store = Store.open(disk, Life.options(Store.Promise.PROCESS));
        SplittableRandom random = new SplittableRandom(seed);
        List<Chain> held = new ArrayList<>();
        long key = 0;
        long[] time = {0};
        for (int i = 0; i < 4_000; i++) {
            byte[] value = new byte[random.nextInt(4_000)];
            if (store.fits(Store.cost(value.length) + 200)) {
                Chain chain = store.put(Life.SPACE, ++key, value);
                store.commit();
                store.reserve(chain, 200);
                held.add(chain);
            } else {
                Chain chain = held.remove(random.nextInt(held.size()));
                store.release(chain, 200);
                store.append(chain, new byte[20]);
                store.delete(chain);
                store.commit();
            }
            if (store.wantsCompaction()) {
                store.compact(() -> time[0]++, 1);
            }
            assertTrue(disk.used() <= Life.LIMIT, disk.used() + " bytes in use");
            assertTrue(store.used() + 4_096 >= disk.used());
        }
        assertTrue(key > 1_000);
    }

    @Test
    void aSecondProcessIsTurnedAway() throws IOException {
        MemoryDisk disk = new MemoryDisk();
        try (Store store = Store.open(disk, Life.options(Store.Promise.PROCESS))) {
            assertThrows(IOException.class, () -> Store.open(disk, Life.options(Store.Promise.PROCESS)));
            store.put(Life.SPACE, 1, new byte[1]);
            store.commit();
        }
        Store.open(disk, Life.options(Store.Promise.PROCESS)).close();
    }
}
