package brambletray.platform.storage;

import brambletray.platform.logging.EventLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The durable keys and values of one process, changed by atomic commits. A commit that has returned survives any kill
 * or loss of power. One thread commits; any may read.
 *
 * <p>The files are of one generation, and grow with each commit. Once they are much larger than the live values,
 * {@link #compact} writes those into a new generation and removes the old one before any other commit. So where two
 * generations are found, nothing was committed in the newer one alone, and if that one is torn the older one is
 * complete.
 */
public final class KeyValueStore implements AutoCloseable, SyncWriter.Disk {
    /** Bytes of a key's UTF-8, and of a value. */
    public static final int MAX_KEY_BYTES = 1_024;

    public static final int MAX_VALUE_BYTES = 8 << 20;
    static final EventLog LOG = EventLog.of("storage");
    /** Bytes of files that are always allowed, and how many times the live values. */
    private static final long MIN_COMPACTION_BYTES = 8L << 20;

    private static final int MAX_SPACE_AMPLIFICATION = 4;
    /** Bytes after which a compaction that failed is tried again. */
    private static final long COMPACTION_RETRY_BYTES = 4L << 20;

    private final Directory directory;
    private volatile StoreGeneration generation;
    private boolean lastCommitFailed;
    private LogSegmentFiles obsoleteSegments;
    private long nextCompactionBytes;
    private final long minCompactionBytes;
    private volatile boolean closed;

    static {
        if (System.getProperty("org.slf4j.simpleLogger.log.jetbrains.exodus") == null) {
            System.setProperty("org.slf4j.simpleLogger.log.jetbrains.exodus", "off");
        }
    }

    private KeyValueStore(Directory directory, long minCompactionBytes) {
        this.directory = directory;
        this.minCompactionBytes = minCompactionBytes;
    }

    /**
     * Opens the store in this folder, or creates it. The last commit that had not returned when the process or the
     * power went may be there or not.
     *
     * @throws StorageException {@code storage.broken}: there is no complete store, as if the disk were lost (the
     *     caller may {@link #abandon} it); {@code storage.format}; {@code storage.refused} and {@code storage.full}:
     *     the disk is in trouble, and a later attempt may succeed
     */
    public static KeyValueStore open(Path dir) throws StorageException {
        try {
            return open(new DiskDirectory(dir));
        } catch (IOException e) {
            throw toStorageException(e);
        }
    }

    static KeyValueStore open(Directory directory) throws StorageException {
        return open(directory, MIN_COMPACTION_BYTES);
    }

    /** {@code minCompactionBytes}: bytes of files that are always allowed. */
    static KeyValueStore open(Directory directory, long minCompactionBytes) throws StorageException {
        KeyValueStore keyValueStore = new KeyValueStore(directory, minCompactionBytes);
        try {
            keyValueStore.generation = new StoreOpening(directory).open();
        } catch (IOException | RuntimeException e) {
            throw toStorageException(e);
        }
        return keyValueStore;
    }

    /** Removes a store that is broken, so that an empty one can be opened in its place; none may be open. */
    public static void abandon(Path dir) throws StorageException {
        try {
            abandon(new DiskDirectory(dir));
        } catch (IOException e) {
            throw toStorageException(e);
        }
    }

    static void abandon(Directory directory) throws StorageException {
        try {
            for (long generation : LogSegmentFiles.generations(directory)) {
                new LogSegmentFiles(directory, generation).remove();
            }
            directory.sync();
            directory.remove(StoreOpening.MARKER_FILE);
            directory.sync();
        } catch (IOException e) {
            throw toStorageException(e);
        }
    }

    /** The value of a key, or null. */
    public byte[] get(String key) {
        return read(() -> generation.get(key));
    }

    /** All whose keys begin so, by key. */
    public List<Map.Entry<String, byte[]>> prefix(String prefix) {
        return read(() -> generation.prefix(prefix));
    }

    /** The number of commits this store has had; after a restart at least that of the last one that returned. */
    public long commitCount() {
        return generation.commitCount();
    }

    /**
     * Makes these changes, in this order and atomically; durable on return.
     *
     * @throws StorageException {@code storage.full}, {@code storage.refused}: not made, unless the process ends
     *     before the next call, which may succeed; {@code storage.too-long}: nothing was done
     */
    @Override
    public void commit(List<KeyChange> changes) throws StorageException {
        for (KeyChange change : changes) {
            if (change.key().length() > MAX_KEY_BYTES
                    || change.value() != null && change.value().length > MAX_VALUE_BYTES) {
                throw new StorageException(
                        "storage.too-long",
                        "the value of "
                                + change.key()
                                        .substring(0, Math.min(64, change.key().length())) + " is too long",
                        null);
            }
        }
        try {
            recover();
            if (generation.usedBytes() >= 2 * compactionThresholdBytes()) {
                compact();
                recover();
            }
            generation.commit(changes);
        } catch (IOException | RuntimeException e) {
            lastCommitFailed = true;
            throw toStorageException(e);
        }
    }

    /**
     * Begins a new generation if the files are much larger than the live values. To be called between commits, where
     * a pause hurts least; a commit does it itself once there is twice as much.
     */
    @Override
    public void compact() {
        long usedBytes = generation.usedBytes();
        if (lastCommitFailed || closed || usedBytes < compactionThresholdBytes()) {
            return;
        }
        LogSegmentFiles next =
                new LogSegmentFiles(directory, generation.segments().generation() + 1);
        StoreGeneration compacted = null;
        try {
            compacted = StoreGeneration.create(next);
            generation.copyTo(compacted);
            directory.sync();
        } catch (IOException | RuntimeException e) {
            LOG.warn("cleanup-failed")
                    .with("bytes", usedBytes)
                    .with("live", generation.liveBytes())
                    .with("why", e)
                    .log();
            nextCompactionBytes = usedBytes + COMPACTION_RETRY_BYTES;
            obsoleteSegments = next;
            if (compacted != null) {
                compacted.close();
            }
            tryRemoveObsolete();
            return;
        }
        StoreGeneration before = generation;
        generation = compacted;
        nextCompactionBytes = 0;
        before.close();
        obsoleteSegments = before.segments();
        tryRemoveObsolete();
        LOG.debug("cleanup-completed")
                .with("generation", next.generation())
                .with("bytes", usedBytes)
                .with("live", compacted.liveBytes())
                .log();
    }

    /** Bytes of the store's files. */
    public long usedBytes() {
        return generation.usedBytes();
    }

    @Override
    public void close() {
        closed = true;
        if (generation != null) {
            generation.close();
        }
    }

    /**
     * After a failure: what was left of it is cut off, and the store opened again where the last commit that returned
     * ends.
     */
    private void recover() throws IOException {
        if (closed) {
            throw new StorageException("storage.closed", "the store is closed", null);
        }
        if (obsoleteSegments != null) {
            removeObsolete();
        }
        if (lastCommitFailed) {
            LogSegmentFiles segment =
                    new LogSegmentFiles(directory, generation.segments().generation());
            generation.close();
            new StoreRepair(segment).truncateAfter(generation.durableEnd());
            StoreGeneration recovered = StoreGeneration.read(segment);
            if (recovered == null || recovered.commitCount() != generation.commitCount()) {
                throw new StorageException("storage.refused", "the store does not read as it was written", null);
            }
            generation = recovered;
            lastCommitFailed = false;
            LOG.info("tail-repaired")
                    .with("generation", segment.generation())
                    .with("commits", recovered.commitCount())
                    .log();
        }
    }

    /** Bytes that the files may have before a compaction. */
    private long compactionThresholdBytes() {
        return Math.max(
                nextCompactionBytes, Math.max(minCompactionBytes, MAX_SPACE_AMPLIFICATION * generation.liveBytes()));
    }

    private void tryRemoveObsolete() {
        try {
            removeObsolete();
        } catch (IOException e) {
            LOG.warn("removal-failed")
                    .with("generation", obsoleteSegments.generation())
                    .with("why", e)
                    .log();
        }
    }

    private void removeObsolete() throws IOException {
        obsoleteSegments.remove();
        directory.sync();
        obsoleteSegments = null;
    }

    private interface ReadOperation<T> {
        T run();
    }

    private <T> T read(ReadOperation<T> operation) {
        try {
            return operation.run();
        } catch (RuntimeException e) {
            throw toStorageException(e);
        }
    }

    private static StorageException toStorageException(Exception thrown) {
        if (thrown instanceof StorageException fault) {
            return fault;
        }
        UncheckedIOException io = StoreGeneration.findIoCause(thrown);
        String why = io == null ? thrown.toString() : io.getCause().getMessage();
        boolean full = why != null && (why.contains("No space left") || why.contains("quota"));
        return new StorageException(
                full ? "storage.full" : "storage.refused",
                full ? "the disk is full: " + why : "the disk refuses: " + why,
                thrown);
    }
}
