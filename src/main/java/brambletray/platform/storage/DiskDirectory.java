package brambletray.platform.storage;

import java.io.File;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/** A directory of the local file system. */
final class DiskDirectory implements Directory {
    private final Path dir;

    DiskDirectory(Path dir) throws IOException {
        this.dir = dir;
        if (!Files.isDirectory(dir)) {
            Files.createDirectories(dir);
        }
    }

    @Override
    public List<String> names() throws IOException {
        String[] names = dir.toFile().list();
        if (names == null) {
            throw new IOException("cannot list " + dir);
        }
        return Arrays.asList(names);
    }

    @Override
    public long length(String name) {
        return file(name).length();
    }

    @Override
    public int read(String name, long position, byte[] buffer, int offset, int count) throws IOException {
        try (RandomAccessFile file = new RandomAccessFile(file(name), "r")) {
            file.seek(position);
            int total = 0;
            while (total < count) {
                int read = file.read(buffer, offset + total, count - total);
                if (read < 0) {
                    break;
                }
                total += read;
            }
            return total;
        }
    }

    @Override
    public FileWriter open(String name, long length) throws IOException {
        RandomAccessFile file = new RandomAccessFile(file(name), "rw");
        try {
            if (file.length() != length) {
                file.setLength(length);
                file.getFD().sync();
            }
            file.seek(length);
        } catch (IOException e) {
            file.close();
            throw e;
        }
        return new FileWriter() {
            @Override
            public void write(byte[] bytes, int offset, int count) throws IOException {
                file.write(bytes, offset, count);
            }

            @Override
            public void sync() throws IOException {
                file.getFD().sync();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    @Override
    public void truncate(String name, long length) throws IOException {
        try (RandomAccessFile file = new RandomAccessFile(file(name), "rw")) {
            file.setLength(length);
            file.getFD().sync();
        }
    }

    @Override
    public void remove(String name) throws IOException {
        Files.deleteIfExists(dir.resolve(name));
    }

    @Override
    public void sync(String name) throws IOException {
        // Opened for reading only, as opening a file for writing may fail on a full disk.
        try (FileChannel file = FileChannel.open(dir.resolve(name))) {
            file.force(true);
        }
    }

    @Override
    public void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(dir)) {
            channel.force(true);
        }
    }

    private File file(String name) {
        return dir.resolve(name).toFile();
    }

    @Override
    public String toString() {
        return dir.toString();
    }
}
