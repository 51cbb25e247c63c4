package brambletray.platform.storage;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.EnvironmentImpl;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.Store;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import jetbrains.exodus.io.DataReaderWriterProvider;
import jetbrains.exodus.log.LogConfig;

/** An open generation: a Xodus store of keys and values, with a summary that each commit updates. */
final class StoreGeneration {
    private static final String STORE_NAME = "trove";
    private static final long CACHE_BYTES = 2L << 20;
    private static final int CACHE_PAGE = 64 << 10;
    private static final ArrayByteIterable SUMMARY_KEY = new ArrayByteIterable(new byte[] {'s'});

    private record EntryInfo(long checksum, int lengthBytes) {}

    private final LogSegmentFiles segments;
    private final EnvironmentImpl environment;
    private final Map<String, EntryInfo> entries = new HashMap<>();
    private Store store;
    private CommitSummary summary;
    private long liveBytes;
    private long durableEnd;

    private StoreGeneration(LogSegmentFiles segments) {
        this.segments = segments;
        EnvironmentConfig config = new EnvironmentConfig();
        config.setManagementEnabled(false)
                .setEnvGatherStatistics(false)
                .setEnvMonitorTxnsExpirationTimeout(0)
                .setLogDurableWrite(true)
                .setLogFileSize(LogSegmentFiles.FILE_BYTES >> 10)
                .setMemoryUsage(CACHE_BYTES)
                .setLogCachePageSize(CACHE_PAGE)
                .setFullFileReadonly(false)
                .setEnvCloseForcedly(true)
                .setGcEnabled(false)
                .setGcStartIn(Integer.MAX_VALUE)
                .setLogDataReaderWriterProvider(DataReaderWriterProvider.IN_MEMORY_READER_WRITER_PROVIDER);
        environment = (EnvironmentImpl) Environments.newInstance(LogConfig.create(segments, segments), config);
    }

    /** Creates an empty generation without a summary; it is not valid until its first commit. */
    static StoreGeneration create(LogSegmentFiles segments) {
        StoreGeneration generation = new StoreGeneration(segments);
        generation.summary = CommitSummary.EMPTY;
        generation.store = generation.environment.computeInTransaction(
                t -> generation.environment.openStore(STORE_NAME, StoreConfig.WITHOUT_DUPLICATES, t));
        generation.recordEnd();
        return generation;
    }

    /**
     * Opens the generation in these files. Returns null if it has no summary or its entries do not match it.
     *
     * @throws UncheckedIOException if reading fails
     */
    static StoreGeneration read(LogSegmentFiles segments) {
        StoreGeneration generation = null;
        try {
            generation = new StoreGeneration(segments);
            if (generation.verify()) {
                generation.recordEnd();
                return generation;
            }
        } catch (StorageException e) {
            throw e;
        } catch (RuntimeException e) {
            UncheckedIOException io = findIoCause(e);
            if (io != null) {
                throw io;
            }
        }
        if (generation != null) {
            generation.close();
        }
        return null;
    }

    static UncheckedIOException findIoCause(Throwable thrown) {
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            if (cause instanceof UncheckedIOException io) {
                return io;
            }
            if (cause instanceof IOException io) {
                return new UncheckedIOException(io);
            }
        }
        return null;
    }

    private boolean verify() {
        if (!environment.computeInReadonlyTransaction(t -> environment.storeExists(STORE_NAME, t))) {
            return false;
        }
        store = environment.computeInReadonlyTransaction(
                t -> environment.openStore(STORE_NAME, StoreConfig.USE_EXISTING, t));
        return environment.computeInReadonlyTransaction(t -> {
            ByteIterable summaryBytes = store.get(t, SUMMARY_KEY);
            summary = summaryBytes == null ? null : CommitSummary.fromBytes(ValueChunks.bytes(summaryBytes));
            if (summary == null) {
                return false;
            }
            long sum = 0;
            try (Cursor cursor = store.openCursor(t)) {
                while (cursor.getNext()) {
                    byte[] key = ValueChunks.bytes(cursor.getKey());
                    if (key[0] != ValueChunks.FIRST_CHUNK_PREFIX) {
                        continue;
                    }
                    byte[] value = ValueChunks.readValue(store, t, key, ValueChunks.bytes(cursor.getValue()));
                    if (value == null) {
                        return false;
                    }
                    String name = ValueChunks.keyOf(key);
                    EntryInfo entry =
                            new EntryInfo(CommitSummary.entryChecksum(ValueChunks.utf8(name), value), value.length);
                    entries.put(name, entry);
                    liveBytes += value.length;
                    sum += entry.checksum();
                }
            }
            return entries.size() == summary.entryCount() && sum == summary.entrySum();
        });
    }

    LogSegmentFiles segments() {
        return segments;
    }

    /** End address of the last successful commit. */
    long durableEnd() {
        return durableEnd;
    }

    /** Total size of all values in bytes. */
    long liveBytes() {
        return liveBytes;
    }

    /** Total size of all files in bytes. */
    long usedBytes() {
        return environment.getLog().getDiskUsage();
    }

    long commitCount() {
        return summary.commitNumber();
    }

    byte[] get(String key) {
        return environment.computeInReadonlyTransaction(t -> {
            byte[] firstKey = ValueChunks.firstChunkKey(key);
            ByteIterable found = store.get(t, new ArrayByteIterable(firstKey));
            return found == null ? null : ValueChunks.readValue(store, t, firstKey, ValueChunks.bytes(found));
        });
    }

    /** All entries whose keys start with the prefix, sorted by key. */
    List<Map.Entry<String, byte[]>> prefix(String prefix) {
        return environment.computeInReadonlyTransaction(t -> {
            List<Map.Entry<String, byte[]>> found = new ArrayList<>();
            try (Cursor cursor = store.openCursor(t)) {
                ByteIterable value = cursor.getSearchKeyRange(new ArrayByteIterable(ValueChunks.firstChunkKey(prefix)));
                while (value != null) {
                    byte[] key = ValueChunks.bytes(cursor.getKey());
                    if (key[0] != ValueChunks.FIRST_CHUNK_PREFIX
                            || !ValueChunks.keyOf(key).startsWith(prefix)) {
                        break;
                    }
                    found.add(Map.entry(
                            ValueChunks.keyOf(key),
                            ValueChunks.readValue(store, t, key, ValueChunks.bytes(cursor.getValue()))));
                    value = cursor.getNext() ? cursor.getValue() : null;
                }
            }
            return found;
        });
    }

    /**
     * Durable on return. Exceptions of Xodus and of the disk are passed on; the generation must be closed after one.
     */
    void commit(List<KeyChange> changes) {
        Map<String, EntryInfo> changed = new HashMap<>();
        CommitSummary next = summary.nextCommit();
        Transaction t = environment.beginExclusiveTransaction();
        try {
            for (KeyChange change : changes) {
                EntryInfo oldEntry =
                        changed.containsKey(change.key()) ? changed.get(change.key()) : entries.get(change.key());
                EntryInfo newEntry = change.value() == null
                        ? null
                        : new EntryInfo(
                                CommitSummary.entryChecksum(ValueChunks.utf8(change.key()), change.value()),
                                change.value().length);
                ValueChunks.put(store, t, change, oldEntry == null ? 0 : oldEntry.lengthBytes());
                changed.put(change.key(), newEntry);
                next = next.withEntry(
                        oldEntry == null ? 0 : oldEntry.checksum(), newEntry == null ? 0 : newEntry.checksum());
            }
            store.put(t, SUMMARY_KEY, new ArrayByteIterable(next.toBytes()));
            if (!t.commit()) {
                throw new IllegalStateException("transaction conflicts with another writer");
            }
        } finally {
            if (!t.isFinished()) {
                t.abort();
            }
        }
        changed.forEach(this::recordChange);
        summary = next;
        recordEnd();
    }

    private void recordChange(String key, EntryInfo newEntry) {
        EntryInfo oldEntry = newEntry == null ? entries.remove(key) : entries.put(key, newEntry);
        liveBytes += (newEntry == null ? 0 : newEntry.lengthBytes()) - (oldEntry == null ? 0 : oldEntry.lengthBytes());
    }

    /** Copies all entries into an empty generation, in one commit. */
    void copyTo(StoreGeneration other) {
        List<KeyChange> all = new ArrayList<>();
        prefix("").forEach(entry -> all.add(new KeyChange(entry.getKey(), entry.getValue())));
        other.summary = new CommitSummary(summary.commitNumber(), 0, 0);
        other.commit(all);
    }

    /** Closes the environment without writing anything more. */
    void close() {
        segments.disable();
        try {
            environment.close();
        } catch (RuntimeException e) {
            KeyValueStore.LOG.debug("close-failed").with("why", e).log();
        }
    }

    private void recordEnd() {
        durableEnd = environment.getLog().getHighAddress();
    }
}
