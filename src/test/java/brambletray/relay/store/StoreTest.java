package brambletray.relay.store;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a store does for its owners, and what its tools tell. */
class StoreTest {
    private MemoryDisk disk = new MemoryDisk();

    private Store open() throws IOException {
        return Store.open(disk, Life.options(Store.Promise.PROCESS));
    }

    private static void commit(Store store, byte space, long key, int size) throws IOException {
        store.put(space, key, new byte[size]);
        store.commit();
    }

    private static void compactFully(Store store) throws IOException {
        for (int i = 0; i < 200; i++) {
            store.compact(() -> 0, 1);
        }
    }

    @Test
    void nameSpacesStandSideBySide() throws IOException {
        try (Store store = open()) {
            commit(store, (byte) 1, 7, 3);
            commit(store, (byte) 2, 7, 4);
            store.delete(store.chains((byte) 1).get(0));
            store.commit();
        }
        try (Store store = open()) {
            assertEquals(List.of(), store.chains((byte) 1));
            assertEquals(4, store.read(store.chains((byte) 2).get(0), 0).length);
        }
    }

    /** A value that is put anew replaces the chain that was there. */
    @Test
    void aKeyPutAgainBeginsAnew() throws IOException {
        try (Store store = open()) {
            Chain first = store.put((byte) 1, 1, new byte[] {1});
            store.append(first, new byte[] {2});
            store.commit();
            store.put((byte) 1, 1, new byte[] {3});
            store.commit();
        }
        try (Store store = open()) {
            assertEquals(1, store.chains((byte) 1).get(0).size());
            assertArrayEquals(new byte[] {3}, store.read(store.chains((byte) 1).get(0), 0));
        }
    }

    /** What is held may be more than the memory for it: values come from their files, also after they were copied. */
    @Test
    void valuesAreReadFromTheirFiles() throws IOException {
        try (Store store = open()) {
            List<Chain> chains = new ArrayList<>();
            for (int i = 0; i < 30; i++) {
                byte[] value = new byte[3_000];
                Arrays.fill(value, (byte) i);
                chains.add(store.put((byte) 1, i, value));
                store.commit();
            }
            compactFully(store);
            for (int i = 0; i < 30; i++) {
                assertEquals(i, store.read(chains.get(i), 0)[2_999]);
            }
        }
    }

    /** Doubt outlasts the segment that was damaged. */
    @Test
    void doubtIsCopiedWithWhatItIsAbout() throws IOException {
        try (Store store = open()) {
            for (int i = 0; i < 3; i++) {
                commit(store, (byte) 1, i, 100);
            }
        }
        byte[] bytes = disk.bytes("seg-0000000001");
        bytes[300] ^= 1;
        disk.damage("seg-0000000001", bytes);
        for (int start = 0; start < 3; start++) {
            try (Store store = open()) {
                assertTrue(store.chains((byte) 1).stream().anyMatch(c -> c.key() == 0 && c.doubtful()));
                assertTrue(store.chains((byte) 1).stream().anyMatch(c -> c.key() == 2 && !c.doubtful()));
                compactFully(store);
            }
        }
        assertFalse(disk.exists("seg-0000000001"));
        assertEquals(List.of(), StoreTools.verify(disk));
    }

    @Test
    void verifyNamesFileOffsetAndCause() throws IOException {
        try (Store store = open()) {
            for (int i = 0; i < 3; i++) {
                commit(store, (byte) 1, i, 100);
            }
        }
        assertEquals(List.of(), StoreTools.verify(disk));
        byte[] bytes = disk.bytes("seg-0000000001");
        MemoryDisk damaged = disk.killed();
        byte[] altered = bytes.clone();
        altered[250] ^= 1;
        damaged.damage("seg-0000000001", altered);
        assertEquals(
                List.of("seg-0000000001 at 178: records 2 to 2 can't be read"),
                StoreTools.verify(damaged).stream().map(Damage::toString).toList());
        damaged = disk.killed();
        damaged.damage("seg-0000000001", Arrays.copyOf(bytes, bytes.length - 5));
        assertEquals(
                List.of(Damage.Kind.TORN_TAIL, Damage.Kind.HOLE),
                StoreTools.verify(damaged).stream().map(Damage::kind).toList());
        damaged = disk.killed();
        damaged.damage("MANIFEST", new byte[80]);
        MemoryDisk bad = damaged;
        assertEquals(
                "MANIFEST is not one: it begins with other bytes",
                assertThrows(UntrustedStore.class, () -> StoreTools.verify(bad)).getMessage());
        assertThrows(UntrustedStore.class, () -> Store.open(bad, Life.options(Store.Promise.PROCESS)));
        damaged.damage("MANIFEST", null);
        assertThrows(UntrustedStore.class, () -> Store.open(bad, Life.options(Store.Promise.PROCESS)));
    }

    /** Without a manifest nothing is trusted; what the segments hold can be saved, and is doubtful. */
    @Test
    void salvageSavesWhatCanBeRead() throws IOException {
        try (Store store = open()) {
            Chain chain = store.put((byte) 1, 1, new byte[] {1});
            store.append(chain, new byte[] {2, 2});
            store.commit();
            commit(store, (byte) 3, 2, 10);
        }
        disk.damage("MANIFEST", null);
        MemoryDisk saved = new MemoryDisk();
        assertEquals(2, StoreTools.salvage(disk, saved, Life.LIMIT));
        try (Store store = Store.open(saved, Life.options(Store.Promise.PROCESS))) {
            Chain chain = store.chains((byte) 1).get(0);
            assertTrue(chain.doubtful());
            assertArrayEquals(new byte[] {2, 2}, store.read(chain, 1));
            assertTrue(store.chains((byte) 3).get(0).doubtful());
        }
        assertThrows(IOException.class, () -> StoreTools.salvage(disk, saved, Life.LIMIT));
    }

    @Test
    void statAndDumpAddUp() throws IOException {
        try (Store store = open()) {
            commit(store, (byte) 1, 1, 10);
            commit(store, (byte) 1, 2, 20);
            store.delete(store.chains((byte) 1).get(0));
            store.commit();
            StoreTools.Figures figures = StoreTools.stat(disk);
            assertEquals(3, figures.records());
            assertEquals(new StoreTools.Space(1, 0, 1, 34), figures.spaces().get(1));
            assertEquals(
                    store.live(),
                    figures.segments().values().stream().mapToLong(s -> s[1]).sum());
        }
        List<String> dumped = new ArrayList<>();
        StoreTools.dump(
                disk, r -> dumped.add("#" + r.sequence() + " " + r.sort() + " " + r.key() + " " + r.value().length));
        assertEquals(List.of("#1 put 1 10", "#2 put 2 20", "#3 delete 1 0"), dumped);
    }

    /**
     * On real files: what is written is read back, a second process is turned away, and reading needs no right to
     * write.
     */
    @Test
    void aFolderOfTheFileSystemIsOneProcesss(@org.junit.jupiter.api.io.TempDir java.nio.file.Path folder)
            throws IOException {
        Store.Options options = Life.options(Store.Promise.MACHINE);
        try (Store store = Store.open(new RealDisk(folder), options)) {
            for (int i = 0; i < 400; i++) {
                commit(store, (byte) 1, i, 500);
            }
            assertThrows(IOException.class, () -> Store.open(new RealDisk(folder), options));
            compactFully(store);
        }
        assertEquals(List.of(), StoreTools.verify(new RealDisk(folder, true)));
        try (Store store = Store.open(new RealDisk(folder), options)) {
            assertEquals(400, store.chains((byte) 1).size());
            assertEquals(500, store.read(store.chains((byte) 1).get(399), 0).length);
        }
    }

    /** One sync for all that was staged. */
    @Test
    void aBatchCostsOneSync() throws IOException {
        int[] syncs = {0};
        try (Store store = Store.open(disk, Life.options(Store.Promise.MACHINE))) {
            disk.fault((what, name, bytes) -> syncs[0] += what.equals("sync") ? 1 : 0);
            for (int i = 0; i < 50; i++) {
                store.put((byte) 1, i, new byte[20]);
            }
            store.commit();
        }
        assertEquals(1, syncs[0]);
    }
}
