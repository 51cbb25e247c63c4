package brambletray.platform.storage;

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
 * The files of one generation of a store, in which Xodus keeps its log, named by generation and address. Replaces
 * Xodus' own file access, which locks files, queries the platform MBeans, and never syncs the directory after a
 * removal.
 */
final class LogSegmentFiles extends AbstractDataWriter implements DataReader {
    /** Size of a file in bytes; all files but the newest have exactly this size. */
    static final int FILE_BYTES = 1 << 20;

    private static final String FILE_EXTENSION = ".xd";
    private static final int GENERATION_DIGITS = 8;
    private static final int ADDRESS_DIGITS = 12;
    private static final int NAME_LENGTH = GENERATION_DIGITS + 1 + ADDRESS_DIGITS + FILE_EXTENSION.length();

    private final Directory directory;
    private final long generation;
    private Directory.FileWriter writer;
    private LogBlock currentBlock;
    private volatile boolean disabled;

    LogSegmentFiles(Directory directory, long generation) {
        this.directory = directory;
        this.generation = generation;
    }

    /** The generations that have files, oldest first. */
    static List<Long> generations(Directory directory) throws IOException {
        TreeSet<Long> found = new TreeSet<>();
        for (String name : directory.names()) {
            if (name.length() == NAME_LENGTH && name.endsWith(FILE_EXTENSION)) {
                found.add(Long.parseLong(name.substring(0, GENERATION_DIGITS), 16));
            }
        }
        return new ArrayList<>(found);
    }

    long generation() {
        return generation;
    }

    Directory directory() {
        return directory;
    }

    /** The start addresses of its files, in ascending order. */
    List<Long> addresses() throws IOException {
        String prefix = hex(generation, GENERATION_DIGITS) + '-';
        TreeSet<Long> found = new TreeSet<>();
        for (String name : directory.names()) {
            if (name.length() == NAME_LENGTH && name.startsWith(prefix)) {
                found.add(Long.parseLong(name.substring(prefix.length(), prefix.length() + ADDRESS_DIGITS), 16));
            }
        }
        return new ArrayList<>(found);
    }

    String fileName(long address) {
        return hex(generation, GENERATION_DIGITS) + '-' + hex(address, ADDRESS_DIGITS) + FILE_EXTENSION;
    }

    /** Removes all its files; the caller has to sync the directory. */
    void remove() throws IOException {
        for (long address : addresses()) {
            directory.remove(fileName(address));
        }
    }

    /** Rejects or ignores all further writes; called before the environment is closed. */
    void disable() {
        disabled = true;
    }

    @Override
    public String getLocation() {
        return "generation " + generation + " in " + directory;
    }

    @Override
    public Iterable<Block> getBlocks() {
        return getBlocks(0);
    }

    @Override
    public Iterable<Block> getBlocks(long from) {
        return unchecked(() -> {
            List<Block> blocks = new ArrayList<>();
            for (long address : addresses()) {
                if (address >= from) {
                    blocks.add(new LogBlock(address));
                }
            }
            return blocks;
        });
    }

    @Override
    public Block write(byte[] bytes, int offset, int count) {
        return unchecked(() -> {
            if (writer == null || disabled) {
                throw new IOException("the store is closed");
            }
            writer.write(bytes, offset, count);
            return currentBlock;
        });
    }

    @Override
    protected void syncImpl() {
        if (!disabled) {
            unchecked(() -> {
                writer.sync();
                return null;
            });
        }
    }

    @Override
    public void syncDirectory() {
        if (!disabled) {
            unchecked(() -> {
                directory.sync();
                return null;
            });
        }
    }

    @Override
    protected Block openOrCreateBlockImpl(long address, long length) {
        return unchecked(() -> {
            if (disabled) {
                throw new IOException("the store is closed");
            }
            writer = directory.open(fileName(address), length);
            currentBlock = new LogBlock(address);
            return currentBlock;
        });
    }

    @Override
    protected void closeImpl() {
        Directory.FileWriter last = writer;
        writer = null;
        unchecked(() -> {
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
        unchecked(() -> {
            directory.remove(fileName(address));
            return null;
        });
    }

    @Override
    public void truncateBlock(long address, long length) {
        unchecked(() -> {
            if (disabled) {
                throw new IOException("the store is closed");
            }
            directory.truncate(fileName(address), length);
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

    private interface IoOperation<T> {
        T run() throws IOException;
    }

    private static <T> T unchecked(IoOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String hex(long number, int digits) {
        String hex = Long.toHexString(number);
        return "0".repeat(digits - hex.length()) + hex;
    }

    private final class LogBlock implements Block {
        private final long address;

        private LogBlock(long address) {
            this.address = address;
        }

        @Override
        public long getAddress() {
            return address;
        }

        @Override
        public long length() {
            return directory.length(fileName(address));
        }

        @Override
        public int read(byte[] output, long position, int offset, int count) {
            return unchecked(() -> directory.read(fileName(address), position, output, offset, count));
        }

        @Override
        public Block refresh() {
            return this;
        }
    }
}
