package brambletray.tray.trove;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import jetbrains.exodus.io.AbstractDataWriter;
import jetbrains.exodus.io.Block;
import jetbrains.exodus.io.DataReader;
import jetbrains.exodus.io.RemoveBlockType;

/**
 * One generation of a store: the files that Xodus' log is written to and read from, named by generation and address. In
 * the place of Xodus' own files, which lock, look at the machine's beans and never sync the folder after a removal.
 */
final class Tape extends AbstractDataWriter implements DataReader {
    /** Bytes of a file; all but the newest have just that length. */
    static final int FILE_BYTES = 1 << 20;

    private static final String ENDING = ".xd";
    private static final int GENERATION_DIGITS = 8;
    private static final int ADDRESS_DIGITS = 12;
    private static final int NAME_LENGTH = GENERATION_DIGITS + 1 + ADDRESS_DIGITS + ENDING.length();

    private final Platter platter;
    private final long generation;
    private Platter.Pen pen;
    private Reel reel;
    private volatile boolean dead;

    Tape(Platter platter, long generation) {
        this.platter = platter;
        this.generation = generation;
    }

    /** The generations of which there are files, oldest first. */
    static List<Long> generations(Platter platter) throws IOException {
        TreeSet<Long> found = new TreeSet<>();
        for (String name : platter.names()) {
            if (name.length() == NAME_LENGTH && name.endsWith(ENDING)) {
                found.add(Long.parseLong(name.substring(0, GENERATION_DIGITS), 16));
            }
        }
        return new ArrayList<>(found);
    }

    long generation() {
        return generation;
    }

    Platter platter() {
        return platter;
    }

    /** The addresses of its files, in order. */
    List<Long> addresses() throws IOException {
        String prefix = hex(generation, GENERATION_DIGITS) + '-';
        TreeSet<Long> found = new TreeSet<>();
        for (String name : platter.names()) {
            if (name.length() == NAME_LENGTH && name.startsWith(prefix)) {
                found.add(Long.parseLong(name.substring(prefix.length(), prefix.length() + ADDRESS_DIGITS), 16));
            }
        }
        return new ArrayList<>(found);
    }

    String name(long address) {
        return hex(generation, GENERATION_DIGITS) + '-' + hex(address, ADDRESS_DIGITS) + ENDING;
    }

    /** Removes all its files; the folder has still to be synced. */
    void remove() throws IOException {
        for (long address : addresses()) {
            platter.remove(name(address));
        }
    }

    /** Writes nothing more: whoever still holds it is to be done away with. */
    void kill() {
        dead = true;
    }

    @Override
    public String getLocation() {
        return "generation " + generation + " in " + platter;
    }

    @Override
    public Iterable<Block> getBlocks() {
        return getBlocks(0);
    }

    @Override
    public Iterable<Block> getBlocks(long from) {
        return io(() -> {
            List<Block> blocks = new ArrayList<>();
            for (long address : addresses()) {
                if (address >= from) {
                    blocks.add(new Reel(address));
                }
            }
            return blocks;
        });
    }

    @Override
    public Block write(byte[] bytes, int offset, int count) {
        return io(() -> {
            if (pen == null || dead) {
                throw new IOException("the store is closed");
            }
            pen.write(bytes, offset, count);
            return reel;
        });
    }

    @Override
    protected void syncImpl() {
        if (!dead) {
            io(() -> {
                pen.sync();
                return null;
            });
        }
    }

    @Override
    public void syncDirectory() {
        if (!dead) {
            io(() -> {
                platter.sync();
                return null;
            });
        }
    }

    @Override
    protected Block openOrCreateBlockImpl(long address, long length) {
        return io(() -> {
            if (dead) {
                throw new IOException("the store is closed");
            }
            pen = platter.open(name(address), length);
            reel = new Reel(address);
            return reel;
        });
    }

    @Override
    protected void closeImpl() {
        Platter.Pen last = pen;
        pen = null;
        io(() -> {
            last.close();
            return null;
        });
    }

    @Override
    protected void clearImpl() {
        throw new UnsupportedOperationException("a store is never cleared");
    }

    @Override
    public void removeBlock(long address, RemoveBlockType type) {
        io(() -> {
            platter.remove(name(address));
            return null;
        });
    }

    @Override
    public void truncateBlock(long address, long length) {
        io(() -> {
            if (dead) {
                throw new IOException("the store is closed");
            }
            platter.cut(name(address), length);
            return null;
        });
    }

    @Override
    public boolean lock(long timeout) {
        return true;
    }

    @Override
    public boolean release() {
        return true;
    }

    @Override
    public String lockInfo() {
        return null;
    }

    private interface Step<T> {
        T run() throws IOException;
    }

    private static <T> T io(Step<T> step) {
        try {
            return step.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String hex(long number, int digits) {
        String hex = Long.toHexString(number);
        return "0".repeat(digits - hex.length()) + hex;
    }

    /** One file. */
    private final class Reel implements Block {
        private final long address;

        private Reel(long address) {
            this.address = address;
        }

        @Override
        public long getAddress() {
            return address;
        }

        @Override
        public long length() {
            return platter.length(name(address));
        }

        @Override
        public int read(byte[] output, long position, int offset, int count) {
            return io(() -> platter.read(name(address), position, output, offset, count));
        }

        @Override
        public Block refresh() {
            return this;
        }
    }
}
