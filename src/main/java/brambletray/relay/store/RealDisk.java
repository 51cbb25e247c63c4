package brambletray.relay.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** A folder of the file system. */
public final class RealDisk implements Disk {
    private final Path folder;
    private final boolean readOnly;

    /** A folder that is written to. */
    public RealDisk(Path folder) {
        this(folder, false);
    }

    /** {@code readOnly}: nothing is written, and nothing can be. */
    public RealDisk(Path folder, boolean readOnly) {
        this.folder = folder;
        this.readOnly = readOnly;
    }

    private record Open(FileChannel channel) implements File {
        @Override
        public void write(long at, ByteBuffer bytes) throws IOException {
            long to = at;
            while (bytes.hasRemaining()) {
                to += channel.write(bytes, to);
            }
        }

        @Override
        public byte[] read(long at, int most) throws IOException {
            long left = Math.max(0, Math.min(most, channel.size() - at));
            ByteBuffer bytes = ByteBuffer.allocate((int) left);
            long from = at;
            while (bytes.hasRemaining()) {
                int got = channel.read(bytes, from);
                if (got < 0) {
                    break;
                }
                from += got;
            }
            return bytes.position() == bytes.capacity()
                    ? bytes.array()
                    : Arrays.copyOf(bytes.array(), bytes.position());
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws IOException {
            channel.force(true);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    @Override
    public File open(String name, boolean create) throws IOException {
        Path file = folder.resolve(name);
        return new Open(
                create
                        ? FileChannel.open(
                                file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)
                        : readOnly
                                ? FileChannel.open(file, StandardOpenOption.READ)
                                : FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public boolean exists(String name) {
        return Files.exists(folder.resolve(name));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(f -> f.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    @Override
    public void syncNames() throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** True while another process holds this lock. */
    public boolean heldElsewhere(String name) {
        if (!exists(name)) {
            return false;
        }
        try {
            lock(name).close();
            return false;
        } catch (FolderInUse folderInUse) {
            return true;
        } catch (Exception e) {
            return false;
        }
    }

    @Override
    public AutoCloseable lock(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            channel.close();
            throw new FolderInUse(folder.toString());
        }
        return channel;
    }

    @Override
    public String toString() {
        return folder.toString();
    }
}
