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
 * An in-memory directory that simulates power loss. Synced contents of a file survive; each later write survives, is
 * lost or is torn, or all of them are lost. Each creation or removal of a file since the directory's last sync survives
 * or is undone, independently of the others.
 */
final class SimulatedDirectory implements Directory {
    private record Write(int at, byte[] bytes) {}

    private static final class SimulatedFile {
        private byte[] bytes = new byte[0];
        private int length;
        /** The synced contents; null if the file was never synced. */
        private byte[] syncedBytes;

        private int syncedLength;
        private final List<Write> unsyncedWrites = new ArrayList<>();

        private static SimulatedFile of(byte[] bytes) {
            SimulatedFile file = new SimulatedFile();
            file.put(0, bytes);
            file.sync();
            return file;
        }

        /** A copy with the same synced and unsynced contents. */
        private SimulatedFile copy() {
            SimulatedFile file = new SimulatedFile();
            file.bytes = Arrays.copyOf(bytes, length);
            file.length = length;
            file.syncedBytes = syncedBytes == null ? null : Arrays.copyOf(syncedBytes, syncedLength);
            file.syncedLength = syncedLength;
            file.unsyncedWrites.addAll(unsyncedWrites);
            return file;
        }

        /** Random contents after a power loss. */
        private byte[] bytesAfterPowerLoss(Random random, boolean loseAllUnsynced) {
            byte[] result = syncedBytes == null ? new byte[0] : Arrays.copyOf(syncedBytes, syncedLength);
            for (Write write : unsyncedWrites) {
                int outcome = loseAllUnsynced ? 1 : random.nextInt(4);
                int cut = write.bytes.length > 1 ? 1 + random.nextInt(write.bytes.length - 1) : 0;
                if (outcome == 0) {
                    result = SimulatedDirectory.put(result, write.at, write.bytes);
                } else if (outcome == 2 && cut > 0) {
                    result = SimulatedDirectory.put(result, write.at, Arrays.copyOf(write.bytes, cut));
                } else if (outcome == 3 && cut > 0) {
                    result = SimulatedDirectory.put(
                            result, write.at + cut, Arrays.copyOfRange(write.bytes, cut, write.bytes.length));
                }
            }
            return result;
        }

        private void put(int at, byte[] written) {
            if (bytes.length < at + written.length) {
                bytes = Arrays.copyOf(bytes, Math.max(at + written.length, 2 * bytes.length));
            }
            System.arraycopy(written, 0, bytes, at, written.length);
            length = Math.max(length, at + written.length);
        }

        private void write(int at, byte[] written) {
            put(at, written);
            unsyncedWrites.add(new Write(at, written));
        }

        private void setLength(int newLength) {
            if (newLength < length) {
                bytes = Arrays.copyOf(bytes, newLength);
                length = newLength;
            } else {
                put(length, new byte[newLength - length]);
            }
            sync();
        }

        /** Shares the array: bytes before {@code syncedLength} change only by truncation, which copies them. */
        private void sync() {
            syncedBytes = bytes;
            syncedLength = length;
            unsyncedWrites.clear();
        }

        private byte[] contents() {
            return Arrays.copyOf(bytes, length);
        }
    }

    /** Up to this many unsynced names, all subsets are simulated; for more names, the same number of random ones. */
    private static final int MAX_ENUMERATED_NAMES = 6;

    private final Map<String, SimulatedFile> files = new TreeMap<>();
    /** Files by name as of the directory's last sync. */
    private final Map<String, SimulatedFile> syncedNames = new TreeMap<>();

    private Runnable beforeChange = () -> {};
    private long capacityBytes = Long.MAX_VALUE;
    private boolean failing;
    private boolean full;

    /** Sets the action that runs before each operation that changes the directory. */
    void setBeforeChange(Runnable each) {
        beforeChange = each;
    }

    /** Sets the total number of bytes that fit on the disk. */
    void setCapacity(long bytes) {
        capacityBytes = bytes;
    }

    void setFailing(boolean value) {
        failing = value;
    }

    /** While set, writing, creating and extending files fail; syncs, truncations and removals succeed. */
    void setFull(boolean value) {
        full = value;
    }

    long bytes() {
        return files.values().stream().mapToLong(file -> file.length).sum();
    }

    /** The directory after a process kill: all writes survive, synced or not. */
    SimulatedDirectory afterKill() {
        SimulatedDirectory next = new SimulatedDirectory();
        Map<SimulatedFile, SimulatedFile> copies = new IdentityHashMap<>();
        files.forEach((name, file) -> next.files.put(name, copies.computeIfAbsent(file, SimulatedFile::copy)));
        syncedNames.forEach(
                (name, file) -> next.syncedNames.put(name, copies.computeIfAbsent(file, SimulatedFile::copy)));
        return next;
    }

    /** Names created, removed or re-created since the directory's last sync. */
    List<String> unsyncedNames() {
        TreeSet<String> names = new TreeSet<>(files.keySet());
        names.addAll(syncedNames.keySet());
        names.removeIf(name -> files.get(name) == syncedNames.get(name));
        return List.copyOf(names);
    }

    /**
     * Possible states after a power loss: each subset of the unsynced names, with random outcomes of the unsynced
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

    /** A random state after a power loss. */
    SimulatedDirectory afterPowerLoss(Random random) {
        return powerLoss(random, random.nextLong(), random.nextInt(4) == 0);
    }

    private SimulatedDirectory powerLoss(Random random, long subset, boolean loseAllUnsynced) {
        SimulatedDirectory next = new SimulatedDirectory();
        Map<String, SimulatedFile> found = new TreeMap<>(syncedNames);
        List<String> names = unsyncedNames();
        for (int i = 0; i < names.size(); i++) {
            String name = names.get(i);
            if ((subset >> i & 1) == 0) {
                continue;
            }
            if (files.containsKey(name)) {
                found.put(name, files.get(name));
            } else {
                found.remove(name);
            }
        }
        found.forEach((name, file) -> {
            SimulatedFile left = SimulatedFile.of(file.bytesAfterPowerLoss(random, loseAllUnsynced));
            next.files.put(name, left);
            next.syncedNames.put(name, left);
        });
        return next;
    }

    /** Contents of the newest file of a store. */
    byte[] newestFile() {
        return files.get(newestName()).contents();
    }

    void newestFile(byte[] bytes) {
        SimulatedFile file = SimulatedFile.of(bytes);
        files.put(newestName(), file);
        syncedNames.put(newestName(), file);
    }

    private String newestName() {
        return files.keySet().stream()
                .filter(name -> name.endsWith(".xd"))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    private static byte[] put(byte[] into, int at, byte[] bytes) {
        byte[] result = into.length >= at + bytes.length ? into : Arrays.copyOf(into, at + bytes.length);
        System.arraycopy(bytes, 0, result, at, bytes.length);
        return result;
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
    public int read(String name, long position, byte[] buffer, int offset, int count) {
        SimulatedFile file = files.get(name);
        int read = (int) Math.max(0, Math.min(count, file.length - position));
        System.arraycopy(file.bytes, (int) position, buffer, offset, read);
        return read;
    }

    @Override
    public FileWriter open(String name, long length) throws IOException {
        beginChange();
        if (full && length(name) < Math.max(1, length)) {
            throw new IOException("No space left on device");
        }
        SimulatedFile file = files.computeIfAbsent(name, any -> new SimulatedFile());
        if (file.length != length) {
            file.setLength((int) length);
        }
        return new FileWriter() {
            private int at = (int) length;

            @Override
            public void write(byte[] bytes, int offset, int count) throws IOException {
                beginChange();
                int fits = full ? 0 : (int) Math.min(count, Math.max(0, capacityBytes - bytes()));
                file.write(at, Arrays.copyOfRange(bytes, offset, offset + fits));
                at += fits;
                if (fits < count) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() throws IOException {
                beginChange();
                file.sync();
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
