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

    private static final class Item {
        private byte[] bytes = new byte[0];
        private int length;
        /** What was synced, or null: not even that there is such a file. */
        private byte[] kept;

        private int keptLength;
        private final List<Write> later = new ArrayList<>();

        private static Item of(byte[] bytes) {
            Item item = new Item();
            item.put(0, bytes);
            item.sync();
            return item;
        }

        /** The same, with what is on the disk and what is not yet. */
        private Item copy() {
            Item item = new Item();
            item.bytes = Arrays.copyOf(bytes, length);
            item.length = length;
            item.kept = kept == null ? null : Arrays.copyOf(kept, keptLength);
            item.keptLength = keptLength;
            item.later.addAll(later);
            return item;
        }

        /** What a loss of power leaves. */
        private byte[] left(Random random, boolean nothing) {
            byte[] left = kept == null ? new byte[0] : Arrays.copyOf(kept, keptLength);
            for (Write write : later) {
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
            later.add(new Write(at, piece));
        }

        private void length(int now) {
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
            kept = bytes;
            keptLength = length;
            later.clear();
        }

        private byte[] now() {
            return Arrays.copyOf(bytes, length);
        }
    }

    /** Subsets of unsynced names that are played all, by their number; of more names as many are drawn. */
    private static final int MOST_NAMES = 6;

    private final Map<String, Item> files = new TreeMap<>();
    /** The files under their names as the folder was last synced. */
    private final Map<String, Item> named = new TreeMap<>();

    private Runnable watcher = () -> {};
    private long room = Long.MAX_VALUE;
    private boolean refusing;
    private boolean full;

    /** Is called before each operation that changes something. */
    void watch(Runnable each) {
        watcher = each;
    }

    /** Bytes for which there is room. */
    void room(long bytes) {
        room = bytes;
    }

    void refusing(boolean now) {
        refusing = now;
    }

    /** No file may be written, made or made longer; syncs, cuts and removals go on. */
    void full(boolean now) {
        full = now;
    }

    long bytes() {
        return files.values().stream().mapToLong(item -> item.length).sum();
    }

    /** What is found after a kill: all that was written, synced or not. */
    SimulatedDirectory afterKill() {
        SimulatedDirectory next = new SimulatedDirectory();
        Map<Item, Item> copies = new IdentityHashMap<>();
        files.forEach((name, item) -> next.files.put(name, copies.computeIfAbsent(item, Item::copy)));
        named.forEach((name, item) -> next.named.put(name, copies.computeIfAbsent(item, Item::copy)));
        return next;
    }

    /** Names that were made, removed or made anew since the folder's last sync. */
    List<String> unsynced() {
        TreeSet<String> names = new TreeSet<>(files.keySet());
        names.addAll(named.keySet());
        names.removeIf(name -> files.get(name) == named.get(name));
        return List.copyOf(names);
    }

    /**
     * What may be found after a loss of power: with every subset of the unsynced names, and drawn fates of unsynced
     * writes.
     */
    List<SimulatedDirectory> afterLosses(Random random) {
        int names = unsynced().size();
        List<SimulatedDirectory> all = new ArrayList<>();
        for (int i = 0; i < 1 << Math.min(names, MOST_NAMES); i++) {
            long subset = names <= MOST_NAMES ? i : random.nextLong();
            all.add(after(random, subset, true));
            all.add(after(random, subset, false));
        }
        return all;
    }

    /** One of them. */
    SimulatedDirectory afterLoss(Random random) {
        return after(random, random.nextLong(), random.nextInt(4) == 0);
    }

    private SimulatedDirectory after(Random random, long subset, boolean nothing) {
        SimulatedDirectory next = new SimulatedDirectory();
        Map<String, Item> found = new TreeMap<>(named);
        List<String> unsynced = unsynced();
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
            Item left = Item.of(item.left(random, nothing));
            next.files.put(name, left);
            next.named.put(name, left);
        });
        return next;
    }

    /** The bytes of the newest file of a store. */
    byte[] newest() {
        return files.get(newestName()).now();
    }

    void newest(byte[] bytes) {
        Item item = Item.of(bytes);
        files.put(newestName(), item);
        named.put(newestName(), item);
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

    private void step() throws IOException {
        watcher.run();
        if (refusing) {
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
        Item item = files.get(name);
        int read = (int) Math.max(0, Math.min(count, item.length - at));
        System.arraycopy(item.bytes, (int) at, to, offset, read);
        return read;
    }

    @Override
    public FileWriter open(String name, long length) throws IOException {
        step();
        if (full && length(name) < Math.max(1, length)) {
            throw new IOException("No space left on device");
        }
        Item item = files.computeIfAbsent(name, any -> new Item());
        if (item.length != length) {
            item.length((int) length);
        }
        return new FileWriter() {
            private int at = (int) length;

            @Override
            public void write(byte[] bytes, int offset, int count) throws IOException {
                step();
                int fits = full ? 0 : (int) Math.min(count, Math.max(0, room - bytes()));
                item.write(at, Arrays.copyOfRange(bytes, offset, offset + fits));
                at += fits;
                if (fits < count) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void sync() throws IOException {
                step();
                item.sync();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        step();
        files.get(name).length((int) length);
    }

    @Override
    public void remove(String name) throws IOException {
        step();
        files.remove(name);
    }

    @Override
    public void sync(String name) throws IOException {
        step();
        files.get(name).sync();
    }

    @Override
    public void sync() throws IOException {
        step();
        named.clear();
        named.putAll(files);
    }
}
