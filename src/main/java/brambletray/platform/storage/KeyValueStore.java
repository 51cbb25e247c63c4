package brambletray.platform.storage;

import brambletray.platform.logging.EventLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * What a process keeps on its disk: keys and values, changed by commits that are wholly there or not at all. What
 * {@link #commit} has returned for is there after any kill or loss of power. One thread commits; any may read.
 *
 * <p>The files are of one generation, and grow with each commit. Once they hold much more than what is in force,
 * {@link #tidy} writes that into a new generation and removes the old one before any other commit. So where two
 * generations are found, nothing was kept in the newer one alone, and if that is torn the older one is whole.
 */
public final class KeyValueStore implements AutoCloseable, SyncWriter.Disk {
    /** Bytes of a key's UTF-8, and of a value. */
    public static final int LONGEST_KEY = 1_024;

    public static final int LONGEST = 8 << 20;
    static final EventLog LOG = EventLog.of("storage");
    /** Bytes of files that are always allowed, and how many times what is in force. */
    private static final long ROOMY = 8L << 20;

    private static final int TIMES = 4;
    /** Bytes after which a tidying that failed is tried again. */
    private static final long AGAIN = 4L << 20;

    private final Directory directory;
    private volatile StoreGeneration storeGeneration;
    private boolean hurt;
    private LogSegmentFile old;
    private long tidyAt;
    private final long roomy;
    private volatile boolean closed;

    static {
        if (System.getProperty("org.slf4j.simpleLogger.log.jetbrains.exodus") == null) {
            System.setProperty("org.slf4j.simpleLogger.log.jetbrains.exodus", "off");
        }
    }

    private KeyValueStore(Directory directory, long roomy) {
        this.directory = directory;
        this.roomy = roomy;
    }

    /**
     * Opens what is in this folder, or begins it. The last commit that had not returned when the process or the power
     * went may be there or not.
     *
     * @throws StorageException {@code trove.broken}: something is there but no whole store, as if the disk were lost
     * (the
     * caller
     *     may {@link #abandon} it); {@code trove.format}; {@code trove.refused} and {@code trove.full}: the disk is in
     *     trouble, and a later try may do
     */
    public static KeyValueStore open(Path dir) throws StorageException {
        try {
            return open(new DiskDirectory(dir));
        } catch (IOException e) {
            throw fault(e);
        }
    }

    static KeyValueStore open(Directory directory) throws StorageException {
        return open(directory, ROOMY);
    }

    /** {@code roomy}: bytes of files that are always allowed. */
    static KeyValueStore open(Directory directory, long roomy) throws StorageException {
        KeyValueStore keyValueStore = new KeyValueStore(directory, roomy);
        try {
            keyValueStore.storeGeneration = new StoreOpening(directory).open();
        } catch (IOException | RuntimeException e) {
            throw fault(e);
        }
        return keyValueStore;
    }

    /** Removes a store that is broken, so that an empty one can be opened in its place; none may be open. */
    public static void abandon(Path dir) throws StorageException {
        try {
            abandon(new DiskDirectory(dir));
        } catch (IOException e) {
            throw fault(e);
        }
    }

    static void abandon(Directory directory) throws StorageException {
        try {
            for (long generation : LogSegmentFile.generations(directory)) {
                new LogSegmentFile(directory, generation).remove();
            }
            directory.sync();
            directory.remove(StoreOpening.BORN);
            directory.sync();
        } catch (IOException e) {
            throw fault(e);
        }
    }

    /** The value of a key, or null. */
    public byte[] get(String key) {
        return read(() -> storeGeneration.get(key));
    }

    /** All whose keys begin so, by key. */
    public List<Map.Entry<String, byte[]>> prefix(String prefix) {
        return read(() -> storeGeneration.prefix(prefix));
    }

    /** The number of commits this store has had; after a restart at least that of the last one that returned. */
    public long commits() {
        return storeGeneration.commits();
    }

    /**
     * Makes these changes, in this order, all or none; durable on return.
     *
     * @throws StorageException {@code trove.full}, {@code trove.refused}: not made, unless the process ends before the
     * next
     * call;
     *     that one may do. {@code trove.too-long}: nothing was done
     */
    @Override
    public void commit(List<KeyChange> changes) throws StorageException {
        for (KeyChange change : changes) {
            if (change.key().length() > LONGEST_KEY || change.value() != null && change.value().length > LONGEST) {
                throw new StorageException(
                        "storage.too-long",
                        "the value of "
                                + change.key()
                                        .substring(0, Math.min(64, change.key().length())) + " is too long",
                        null);
            }
        }
        try {
            heal();
            if (storeGeneration.used() >= 2 * room()) {
                tidy();
                heal();
            }
            storeGeneration.commit(changes);
        } catch (IOException | RuntimeException e) {
            hurt = true;
            throw fault(e);
        }
    }

    /**
     * If the files hold much more than what is in force: begins a new generation. To be called between commits, where a
     * pause hurts least; a commit does it itself once there is twice as much.
     */
    @Override
    public void tidy() {
        long used = storeGeneration.used();
        if (hurt || closed || used < room()) {
            return;
        }
        LogSegmentFile next =
                new LogSegmentFile(directory, storeGeneration.segment().generation() + 1);
        StoreGeneration fresh = null;
        try {
            fresh = StoreGeneration.make(next);
            storeGeneration.copyTo(fresh);
            directory.sync();
        } catch (IOException | RuntimeException e) {
            LOG.warn("not-tidied", "bytes", used, "live", storeGeneration.live(), "why", e);
            tidyAt = used + AGAIN;
            old = next;
            if (fresh != null) {
                fresh.close();
            }
            tryRemoveOld();
            return;
        }
        StoreGeneration before = storeGeneration;
        storeGeneration = fresh;
        tidyAt = 0;
        before.close();
        old = before.segment();
        tryRemoveOld();
        LOG.debug("tidied", "generation", next.generation(), "bytes", used, "live", fresh.live());
    }

    /** Bytes of the store's files. */
    public long used() {
        return storeGeneration.used();
    }

    @Override
    public void close() {
        closed = true;
        if (storeGeneration != null) {
            storeGeneration.close();
        }
    }

    /**
     * After a failure: what was left of it is cut off, and the store opened again where the last commit that returned
     * ends.
     */
    private void heal() throws IOException {
        if (closed) {
            throw new StorageException("storage.closed", "the store is closed", null);
        }
        if (old != null) {
            removeOld();
        }
        if (hurt) {
            LogSegmentFile segment =
                    new LogSegmentFile(directory, storeGeneration.segment().generation());
            storeGeneration.close();
            new StoreRepair(segment).cut(storeGeneration.end());
            StoreGeneration healed = StoreGeneration.read(segment);
            if (healed == null || healed.commits() != storeGeneration.commits()) {
                throw new StorageException("storage.refused", "the store does not read as it was written", null);
            }
            storeGeneration = healed;
            hurt = false;
            LOG.tell("healed", "generation", segment.generation(), "commits", healed.commits());
        }
    }

    /** Bytes that the files may have before a tidying. */
    private long room() {
        return Math.max(tidyAt, Math.max(roomy, TIMES * storeGeneration.live()));
    }

    private void tryRemoveOld() {
        try {
            removeOld();
        } catch (IOException e) {
            LOG.warn("not-removed", "generation", old.generation(), "why", e);
        }
    }

    private void removeOld() throws IOException {
        old.remove();
        directory.sync();
        old = null;
    }

    private interface Reading<T> {
        T run();
    }

    private <T> T read(Reading<T> reading) {
        try {
            return reading.run();
        } catch (RuntimeException e) {
            throw fault(e);
        }
    }

    private static StorageException fault(Exception thrown) {
        if (thrown instanceof StorageException fault) {
            return fault;
        }
        UncheckedIOException io = StoreGeneration.ioIn(thrown);
        String why = io == null ? thrown.toString() : io.getCause().getMessage();
        boolean full = why != null && (why.contains("No space left") || why.contains("quota"));
        return new StorageException(
                full ? "storage.full" : "storage.refused",
                full ? "the disk is full: " + why : "the disk refuses: " + why,
                thrown);
    }
}
