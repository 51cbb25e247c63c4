package brambletray.platform.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A folder in memory that loses power. Of a file stays what was synced; of what was written later each piece is there,
 * missing or torn, or all of it is gone. Each file that was made or removed since the folder's last sync is there or
 * not, by itself.
 */
final class SimulatedDirectory implements Directory {
    private record Write(int at, byte[] bytes) {}

    private static final class SimulatedFile {
        private byte[] bytes = new byte[0];
        private int length;
        /** What was synced, or null: not even that there is such a file. */
        private byte[] syncedBytes;

        private int syncedLength;
        private final List<Write> unsyncedWrites = new ArrayList<>();

        private static SimulatedFile of(byte[] bytes) {
            SimulatedFile item = new SimulatedFile();
            item.put(0, bytes);
            item.sync();
            return item;
        }

        /** The same, with what is on the disk and what is not yet. */
        private SimulatedFile copy() {
            SimulatedFile item = new SimulatedFile();
            item.bytes = Arrays.copyOf(bytes, length);
            item.length = length;
            item.syncedBytes = syncedBytes == null ? null : Arrays.copyOf(syncedBytes, syncedLength);
            item.syncedLength = syncedLength;
            item.unsyncedWrites.addAll(unsyncedWrites);
            return item;
        }

        /** What a loss of power leaves. */
        private byte[] bytesAfterPowerLoss(Random random, boolean nothing) {
            byte[] left = syncedBytes == null ? new byte[0] : Arrays.copyOf(syncedBytes, syncedLength);
            for (Write write : unsyncedWrites) {
                int fate = nothing ? 1 : random.nextInt(4);
                int cut = write.bytes.length > 1 ? 1 + random.nextInt(write.bytes.length - 1) : 0;
                if (fate == 0) {
                    left = SimulatedDirectory.put(left, write.at, write.bytes);
                } else if (fate == 2 && cut > 0) {
                    left = SimulatedDirectory.put(left, write.at, Arrays.copyOf(write.bytes, cut));
                } else if (fate == 3 && cut > 0) {
                    left = SimulatedDirectory.put(
                            left, write.at + cut, Arrays.copyOfRange(write.bytes, cut, write.bytes.length));
                }
            }
            return left;
        }

        private void put(int at, byte[] piece) {
            if (bytes.length < at + piece.length) {
                bytes = Arrays.copyOf(bytes, Math.max(at + piece.length, 2 * bytes.length));
            }
            System.arraycopy(piece, 0, bytes, at, piece.length);
            length = Math.max(length, at + piece.length);
        }

        private void write(int at, byte[] piece) {
            put(at, piece);
            unsyncedWrites.add(new Write(at, piece));
        }

        private void setLength(int now) {
            if (now < length) {
                bytes = Arrays.copyOf(bytes, now);
                length = now;
            } else {
                put(length, new byte[now - length]);
            }
            sync();
        }

        /** Bytes before {@code keptLength} never change, but by a cut, which copies them. */
        private void sync() {
            syncedBytes = bytes;
            syncedLength = length;
            unsyncedWrites.clear();
        }

        private byte[] contents() {
            return Arrays.copyOf(bytes, length);
        }
    }

    /** Subsets of unsynced names that are played all, by their number; of more names as many are drawn. */
    private static final int MAX_ENUMERATED_NAMES = 6;

    private final Map<String, SimulatedFile> files = new TreeMap<>();
    /** The files under their names as the folder was last synced. */
    private final Map<String, SimulatedFile> syncedNames = new TreeMap<>();

    private Runnable beforeChange = () -> {};
    private long capacityBytes = Long.MAX_VALUE;
    private boolean failing;
    private boolean full;

    /** Is called before each operation that changes something. */
    void setBeforeChange(Runnable each) {
        beforeChange = each;
    }

    /** Bytes for which there is room. */
    void setCapacity(long bytes) {
        capacityBytes = bytes;
    }

    void setFailing(boolean now) {
        failing = now;
    }

    /** No file may be written, made or made longer; syncs, cuts and removals go on. */
    void setFull(boolean now) {
        full = now;
    }

    long bytes() {
        return files.values().stream().mapToLong(item -> item.length).sum();
    }

    /** What is found after a kill: all that was written, synced or not. */
    SimulatedDirectory afterKill() {
        SimulatedDirectory next = new SimulatedDirectory();
        Map<SimulatedFile, SimulatedFile> copies = new IdentityHashMap<>();
        files.forEach((name, item) -> next.files.put(name, copies.computeIfAbsent(item, SimulatedFile::copy)));
        syncedNames.forEach((name, item) -> next.syncedNames.put(name, copies.computeIfAbsent(item, SimulatedFile::copy)));
        return next;
    }

    /** Names that were made, removed or made anew since the folder's last sync. */
    List<String> unsyncedNames() {
        TreeSet<String> names = new TreeSet<>(files.keySet());
        names.addAll(syncedNames.keySet());
        names.removeIf(name -> files.get(name) == syncedNames.get(name));
        return List.copyOf(names);
    }

    /**
     * What may be found after a loss of power: with every subset of the unsynced names, and drawn fates of unsynced
     * writes.
     */
    List<SimulatedDirectory> afterPowerLosses(Random random) {
        int names = unsyncedNames().size();
        List<SimulatedDirectory> all = new ArrayList<>();
        for (int i = 0; i < 1 << Math.min(names, MAX_ENUMERATED_NAMES); i++) {
            long subset = names <= MAX_ENUMERATED_NAMES ? i : random.nextLong();
            all.add(powerLoss(random, subset, true));
            all.add(powerLoss(random, subset, false));
        }
        return all;
    }

    /** One of them. */
    SimulatedDirectory afterPowerLoss(Random random) {
        return powerLoss(random, random.nextLong(), random.nextInt(4) == 0);
    }

    private SimulatedDirectory powerLoss(Random random, long subset, boolean nothing) {
        SimulatedDirectory next = new SimulatedDirectory();
        Map<String, SimulatedFile> found = new TreeMap<>(syncedNames);
        List<String> unsynced = unsyncedNames();
        for (int i = 0; i < unsynced.size(); i++) {
            String name = unsynced.get(i);
            if ((subset >> i & 1) == 0) {
                continue;
            }
            if (files.containsKey(name)) {
                found.put(name, files.get(name));
            } else {
                found.remove(name);
            }
        }
        found.forEach((name, item) -> {
            SimulatedFile left = SimulatedFile.of(item.bytesAfterPowerLoss(random, nothing));
            next.files.put(name, left);
            next.syncedNames.put(name, left);
        });
        return next;
    }

    /** The bytes of the newest file of a store. */
    byte[] newestFile() {
        return files.get(newestName()).contents();
    }

    void newestFile(byte[] bytes) {
        SimulatedFile item = SimulatedFile.of(bytes);
        files.put(newestName(), item);
        syncedNames.put(newestName(), item);
    }

    private String newestName() {
        return files.keySet().stream()
                .filter(name -> name.endsWith(".xd"))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private static byte[] put(byte[] into, int at, byte[] bytes) {
        byte[] longer = into.length >= at + bytes.length ? into : Arrays.copyOf(into, at + bytes.length);
        System.arraycopy(bytes, 0, longer, at, bytes.length);
        return longer;
    }

    private void beginChange() throws IOException {
        beforeChange.run();
        if (failing) {
            throw new IOException("Input/output error");
        }
    }

    @Override
    public List<String> names() {
        return List.copyOf(files.keySet());
    }

    @Override
    public long length(String name) {
        return files.containsKey(name) ? files.get(name).length : 0;
    }

    @Override
    public int read(String name, long at, byte[] to, int offset, int count) {
        SimulatedFile item = files.get(name);
        int read = (int) Math.max(0, Math.min(count, item.length - at));
        System.arraycopy(item.bytes, (int) at, to, offset, read);
        return read;
    }

    @Override
    public FileWriter open(String name, long length) throws IOException {
        beginChange();
        if (full && length(name) < Math.max(1, length)) {
            throw new IOException("No space left on device");
        }
        SimulatedFile item = files.computeIfAbsent(name, any -> new SimulatedFile());
        if (item.length != length) {
            item.setLength((int) length);
        }
        return new FileWriter() {
            private int at = (int) length;

            @Override
            public void write(byte[] bytes, int offset, int count) throws IOException {
                beginChange();
                int fits = full ? 0 : (int) Math.min(count, Math.max(0, capacityBytes - bytes()));
                item.write(at, Arrays.copyOfRange(bytes, offset, offset + fits));
                at += fits;
                if (fits < count) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() throws IOException {
                beginChange();
                item.sync();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        beginChange();
        files.get(name).setLength((int) length);
    }

    @Override
    public void remove(String name) throws IOException {
        beginChange();
        files.remove(name);
    }

    @Override
    public void sync(String name) throws IOException {
        beginChange();
        files.get(name).sync();
    }

    @Override
    public void sync() throws IOException {
        beginChange();
        syncedNames.clear();
        syncedNames.putAll(files);
    }
}
