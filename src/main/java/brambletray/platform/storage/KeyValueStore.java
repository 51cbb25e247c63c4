package brambletray.platform.storage;

import brambletray.platform.logging.EventLog;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The durable keys and values of one process, changed by atomic commits. A commit that has returned survives process
 * kills and loss of power. One thread commits; any thread may read.
 *
 * <p>The files belong to one generation and grow with each commit. Once they are much larger than the live values,
 * {@link #compact} copies those into a new generation and removes the old one before any other commit. So if two
 * generations are found, the newer one contains no commit that the older one lacks, and if the newer one is torn, the
 * older one is complete.
 */
public final class KeyValueStore implements AutoCloseable, SyncWriter.Disk {
    /** Limits of a key, in UTF-8, and of a value. */
    public static final int MAX_KEY_BYTES = 1_024;

    public static final int MAX_VALUE_BYTES = 8 << 20;
    static final EventLog LOG = EventLog.of("storage");
    /** No compaction below this file size, or below {@link #MAX_SPACE_AMPLIFICATION} times the live values. */
    private static final long MIN_COMPACTION_BYTES = 8L << 20;

    private static final int MAX_SPACE_AMPLIFICATION = 4;
    /** Bytes to be written before a failed compaction is retried. */
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
     * Opens the store in this directory, or creates it. A commit that had not returned when the process was killed or
     * the power was lost may be present or not.
     *
     * @throws StorageException {@code storage.broken}: there is no complete store, as if the disk were lost (the
     *     caller may {@link #abandon} it); {@code storage.format}; {@code storage.refused} and {@code storage.full}:
     *     disk errors, so that a later attempt may succeed
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

    /** {@code minCompactionBytes}: file size below which the store is never compacted. */
    static KeyValueStore open(Directory directory, long minCompactionBytes) throws StorageException {
        KeyValueStore keyValueStore = new KeyValueStore(directory, minCompactionBytes);
        try {
            keyValueStore.generation = new StoreOpening(directory).open();
        } catch (IOException | RuntimeException e) {
            throw toStorageException(e);
        }
        return keyValueStore;
    }

    /** Removes a broken store, so that an empty one can be created in its place. The store must not be open. */
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

    /** All entries whose keys start with the prefix, sorted by key. */
    public List<Map.Entry<String, byte[]>> prefix(String prefix) {
        return read(() -> generation.prefix(prefix));
    }

    /** The number of commits so far; after a restart, it includes at least all commits that had returned. */
    public long commitCount() {
        return generation.commitCount();
    }

    /**
     * Applies these changes in order and atomically; durable on return.
     *
     * @throws StorageException {@code storage.full}, {@code storage.refused}: the changes were not applied, although
     *     they may be found if the process ends before the next call, which may succeed; {@code storage.too-long}:
     *     nothing was done
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
     * Starts a new generation if the files are much larger than the live values. To be called between commits, where a
     * pause matters least; a commit does it itself once the files have twice the threshold size.
     */
    @Override
    public void compact() {
        long usedBytes = generation.usedBytes();
        if (lastCommitFailed || closed || usedBytes < compactionThresholdBytes()) {
            return;
        }
        LogSegmentFiles nextSegments =
                new LogSegmentFiles(directory, generation.segments().generation() + 1);
        StoreGeneration compacted = null;
        try {
            compacted = StoreGeneration.create(nextSegments);
            generation.copyTo(compacted);
            directory.sync();
        } catch (IOException | RuntimeException e) {
            LOG.warn("cleanup-failed")
                    .with("bytes", usedBytes)
                    .with("live", generation.liveBytes())
                    .with("why", e)
                    .log();
            nextCompactionBytes = usedBytes + COMPACTION_RETRY_BYTES;
            obsoleteSegments = nextSegments;
            if (compacted != null) {
                compacted.close();
            }
            tryRemoveObsolete();
            return;
        }
        StoreGeneration previous = generation;
        generation = compacted;
        nextCompactionBytes = 0;
        previous.close();
        obsoleteSegments = previous.segments();
        tryRemoveObsolete();
        LOG.debug("cleanup-completed")
                .with("generation", nextSegments.generation())
                .with("bytes", usedBytes)
                .with("live", compacted.liveBytes())
                .log();
    }

    /** Total size of the store's files in bytes. */
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
     * After a failed commit: truncates what it has left, and reopens the store at the end of the last commit that
     * returned.
     */
    private void recover() throws IOException {
        if (closed) {
            throw new StorageException("storage.closed", "the store is closed", null);
        }
        if (obsoleteSegments != null) {
            removeObsolete();
        }
        if (lastCommitFailed) {
            LogSegmentFiles segments =
                    new LogSegmentFiles(directory, generation.segments().generation());
            generation.close();
            new StoreRepair(segments).truncateAfter(generation.durableEnd());
            StoreGeneration recovered = StoreGeneration.read(segments);
            if (recovered == null || recovered.commitCount() != generation.commitCount()) {
                throw new StorageException(
                        "storage.refused",
                        "the store, reopened after a failed commit, does not match its last commit",
                        null);
            }
            generation = recovered;
            lastCommitFailed = false;
            LOG.info("tail-repaired")
                    .with("generation", segments.generation())
                    .with("commits", recovered.commitCount())
                    .log();
        }
    }

    /** File size in bytes from which the store is compacted. */
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
        String reason = io == null ? thrown.toString() : io.getCause().getMessage();
        boolean full = reason != null && (reason.contains("No space left") || reason.contains("quota"));
        return new StorageException(
                full ? "storage.full" : "storage.refused",
                full ? "the disk is full: " + reason : "disk error: " + reason,
                thrown);
    }
}
