package brambletray.relay.store;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory that can crash: it knows what a file system has promised to keep and what it has not
 * yet. {@link #killed} is the folder after the process ends; {@link #cut} one that the machine may be left
 * with after a power cut, where writes, truncations and names that were not synced are lost or kept in any
 * subset.
 */
public final class MemoryDisk implements Disk {
    /** Bytes of a file that reach the medium together. */
    private static final int BLOCK = 512;

    /** Asked before each operation that changes something; may throw, or remember the moment. */
    public interface Fault {
        void before(String operation, String name, long bytes) throws IOException;
    }

    /** A file: what processes see, and what has been synced. Renames move the file, not its name. */
    private static final class Node {
        byte[] seen = new byte[0];
        byte[] kept = new byte[0];

        Node copy() {
            Node copy = new Node();
            copy.seen = seen.clone();
            copy.kept = kept.clone();
            return copy;
        }
    }

    private final Map<String, Node> names = new TreeMap<>();
    private final Map<String, Node> keptNames = new TreeMap<>();
    private Fault fault = (operation, name, bytes) -> {};
    private Runnable whenWritten = () -> {};
    private boolean locked;
    private boolean dead;

    /** Sets who is asked before each operation. */
    public void fault(Fault asked) {
        fault = asked;
    }

    private void before(String operation, String name, long bytes) throws IOException {
        if (dead) {
            throw new IOException("the process is dead");
        }
        fault.before(operation, name, bytes);
    }

    /** Told after each write that has been done. */
    public void whenWritten(Runnable told) {
        whenWritten = told;
    }

    /** From now on nothing works: the process has been killed. */
    public void die() {
        dead = true;
    }

    private final class Open implements File {
        private final String name;
        private final Node node;

        Open(String name, Node node) {
            this.name = name;
            this.node = node;
        }

        @Override
        public void write(long at, ByteBuffer bytes) throws IOException {
            byte[] data = new byte[bytes.remaining()];
            bytes.get(data);
            try {
                before("write", name, data.length);
            } catch (PartlyWritten partlyWritten) {
                put(at, Arrays.copyOf(data, Math.min(data.length, partlyWritten.bytes)));
                throw partlyWritten;
            }
            put(at, data);
            whenWritten.run();
        }

        private void put(long at, byte[] data) {
            int end = (int) at + data.length;
            if (end > node.seen.length) {
                node.seen = Arrays.copyOf(node.seen, end);
            }
            System.arraycopy(data, 0, node.seen, (int) at, data.length);
        }

        @Override
        public byte[] read(long at, int most) {
            int from = (int) Math.min(at, node.seen.length);
            return Arrays.copyOfRange(node.seen, from, Math.min(node.seen.length, from + most));
        }

        @Override
        public long size() {
            return node.seen.length;
        }

        @Override
        public void truncate(long size) throws IOException {
            before("truncate", name, size);
            node.seen = Arrays.copyOf(node.seen, (int) Math.min(size, node.seen.length));
        }

        @Override
        public void sync() throws IOException {
            before("sync", name, 0);
            node.kept = node.seen.clone();
        }

        @Override
        public void close() {
            // Nothing to let go.
        }
    }

    /** A write that failed when so many bytes were there. */
    public static final class PartlyWritten extends IOException {
        private static final long serialVersionUID = 1L;
        private final int bytes;

        public PartlyWritten(int bytes) {
            super("no space left on device");
            this.bytes = bytes;
        }
    }

    @Override
    public File open(String name, boolean create) throws IOException {
        Node node = names.get(name);
        if (node == null) {
            if (!create) {
                throw new FileNotFoundException(name);
            }
            before("create", name, 0);
            node = new Node();
            names.put(name, node);
        }
        return new Open(name, node);
    }

    @Override
    public boolean exists(String name) {
        return names.containsKey(name);
    }

    @Override
    public void rename(String from, String to) throws IOException {
        before("rename", to, 0);
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(String name) throws IOException {
        if (names.containsKey(name)) {
            before("delete", name, 0);
            names.remove(name);
        }
    }

    @Override
    public List<String> list() {
        return new ArrayList<>(names.keySet());
    }

    @Override
    public void syncNames() throws IOException {
        before("syncNames", "", 0);
        keptNames.clear();
        keptNames.putAll(names);
    }

    @Override
    public AutoCloseable lock(String name) throws IOException {
        if (locked) {
            throw new FolderInUse("in memory");
        }
        locked = true;
        return () -> locked = false;
    }

    // ---- Crashes, and looks from outside --------------------------------------------------------
    /**
     * The folder as the next process finds it after this one has been killed: all that was written is
     * there.
     */
    public MemoryDisk killed() {
        MemoryDisk after = new MemoryDisk();
        Map<Node, Node> copies = new IdentityHashMap<>();
        names.forEach((name, node) -> after.names.put(name, copies.computeIfAbsent(node, Node::copy)));
        keptNames.forEach((name, node) -> after.keptNames.put(name, copies.computeIfAbsent(node, Node::copy)));
        return after;
    }

    /** The folder after a power cut; {@code random} draws which of what was not synced is there. */
    public MemoryDisk cut(SplittableRandom random) {
        MemoryDisk after = new MemoryDisk();
        Map<String, Node> left = new LinkedHashMap<>(keptNames);
        for (Map.Entry<String, Node> entry : names.entrySet()) {
            if (keptNames.get(entry.getKey()) != entry.getValue() && random.nextBoolean()) {
                left.put(entry.getKey(), entry.getValue());
            }
        }
        for (String name : keptNames.keySet()) {
            if (!names.containsKey(name) && random.nextBoolean()) {
                left.remove(name);
            }
        }
        left.forEach((name, node) -> {
            Node survived = new Node();
            survived.seen = survive(node, random);
            survived.kept = survived.seen.clone();
            after.names.put(name, survived);
            after.keptNames.put(name, survived);
        });
        return after;
    }

    /** Each block that differs from what was synced is the old or the new one; the length too. */
    private static byte[] survive(Node node, SplittableRandom random) {
        if (Arrays.equals(node.seen, node.kept)) {
            return node.kept.clone();
        }
        int most = Math.max(node.seen.length, node.kept.length);
        int length = random.nextInt(3) == 0
                ? node.kept.length
                : random.nextInt(2) == 0
                        ? node.seen.length
                        : Math.min(node.kept.length, node.seen.length)
                                + random.nextInt(Math.abs(node.seen.length - node.kept.length) + 1);
        byte[] left = new byte[most];
        System.arraycopy(node.kept, 0, left, 0, node.kept.length);
        for (int at = 0; at < most; at += BLOCK) {
            if (random.nextBoolean()) {
                int end = Math.min(at + BLOCK, most);
                for (int i = at; i < end; i++) {
                    left[i] = i < node.seen.length ? node.seen[i] : 0;
                }
            }
        }
        return Arrays.copyOf(left, length);
    }

    /** The bytes of a file, as processes see them. */
    public byte[] bytes(String name) {
        return names.get(name).seen.clone();
    }

    /** Sets a file's bytes, as damage from outside does; null deletes it. */
    public void damage(String name, byte[] bytes) {
        if (bytes == null) {
            names.remove(name);
            keptNames.remove(name);
            return;
        }
        Node node = names.computeIfAbsent(name, n -> new Node());
        node.seen = bytes.clone();
        node.kept = bytes.clone();
        keptNames.put(name, node);
    }

    /** Bytes that all files take up, each in whole blocks. */
    public long used() {
        return names.values().stream()
                .mapToLong(node -> (node.seen.length + BLOCK - 1L) / BLOCK * BLOCK)
                .sum();
    }

    @Override
    public String toString() {
        return "memory";
    }
}
