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

/** One generation, open: a Xodus store of keys and values, with a summary written by each commit. */
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

    /** An empty one without a summary: until its first commit it does not count. */
    static StoreGeneration create(LogSegmentFiles segments) {
        StoreGeneration generation = new StoreGeneration(segments);
        generation.summary = CommitSummary.EMPTY;
        generation.store = generation.environment.computeInTransaction(
                t -> generation.environment.openStore(STORE_NAME, StoreConfig.WITHOUT_DUPLICATES, t));
        generation.recordEnd();
        return generation;
    }

    /**
     * The generation in these files; null if its entries do not add up to its summary, or it has none.
     *
     * @throws UncheckedIOException if the disk does not read
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

    /** Address at which the last successful commit ends. */
    long durableEnd() {
        return durableEnd;
    }

    /** Bytes of all values. */
    long liveBytes() {
        return liveBytes;
    }

    /** Bytes of all files. */
    long usedBytes() {
        return environment.getLog().getDiskUsage();
    }

    long commitCount() {
        return summary.commitNumber();
    }

    byte[] get(String key) {
        return environment.computeInReadonlyTransaction(t -> {
            byte[] head = ValueChunks.firstChunkKey(key);
            ByteIterable found = store.get(t, new ArrayByteIterable(head));
            return found == null ? null : ValueChunks.readValue(store, t, head, ValueChunks.bytes(found));
        });
    }

    /** All whose keys begin so, by key. */
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

    /** Durable on return; throws what Xodus or the disk throws, and is then to be closed. */
    void commit(List<KeyChange> changes) {
        Map<String, EntryInfo> changed = new HashMap<>();
        CommitSummary next = summary.nextCommit();
        Transaction t = environment.beginExclusiveTransaction();
        try {
            for (KeyChange change : changes) {
                EntryInfo old =
                        changed.containsKey(change.key()) ? changed.get(change.key()) : entries.get(change.key());
                EntryInfo now = change.value() == null
                        ? null
                        : new EntryInfo(
                                CommitSummary.entryChecksum(ValueChunks.utf8(change.key()), change.value()),
                                change.value().length);
                ValueChunks.put(store, t, change, old == null ? 0 : old.lengthBytes());
                changed.put(change.key(), now);
                next = next.withEntry(old == null ? 0 : old.checksum(), now == null ? 0 : now.checksum());
            }
            store.put(t, SUMMARY_KEY, new ArrayByteIterable(next.toBytes()));
            if (!t.commit()) {
                throw new IllegalStateException("another wrote at the same time");
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

    private void recordChange(String key, EntryInfo now) {
        EntryInfo old = now == null ? entries.remove(key) : entries.put(key, now);
        liveBytes += (now == null ? 0 : now.lengthBytes()) - (old == null ? 0 : old.lengthBytes());
    }

    /** Copies all entries into an empty generation, in one commit. */
    void copyTo(StoreGeneration other) {
        List<KeyChange> all = new ArrayList<>();
        prefix("").forEach(entry -> all.add(new KeyChange(entry.getKey(), entry.getValue())));
        other.summary = new CommitSummary(summary.commitNumber(), 0, 0);
        other.commit(all);
    }

    /** Writes nothing more. */
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
