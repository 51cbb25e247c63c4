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

/** One generation, open: a Xodus store of keys and values, sealed by each commit. */
final class StoreGeneration {
    private static final String STORE = "trove";
    private static final long CACHE_BYTES = 2L << 20;
    private static final int CACHE_PAGE = 64 << 10;
    private static final ArrayByteIterable SEAL = new ArrayByteIterable(new byte[] {'s'});

    private record Mark(long part, int length) {}

    private final LogSegmentFile segment;
    private final EnvironmentImpl environment;
    private final Map<String, Mark> marks = new HashMap<>();
    private Store store;
    private CommitSummary seal;
    private long live;
    private long end;

    private StoreGeneration(LogSegmentFile segment) {
        this.segment = segment;
        EnvironmentConfig config = new EnvironmentConfig();
        config.setManagementEnabled(false)
                .setEnvGatherStatistics(false)
                .setEnvMonitorTxnsExpirationTimeout(0)
                .setLogDurableWrite(true)
                .setLogFileSize(LogSegmentFile.FILE_BYTES >> 10)
                .setMemoryUsage(CACHE_BYTES)
                .setLogCachePageSize(CACHE_PAGE)
                .setFullFileReadonly(false)
                .setEnvCloseForcedly(true)
                .setGcEnabled(false)
                .setGcStartIn(Integer.MAX_VALUE)
                .setLogDataReaderWriterProvider(DataReaderWriterProvider.IN_MEMORY_READER_WRITER_PROVIDER);
        environment = (EnvironmentImpl) Environments.newInstance(LogConfig.create(segment, segment), config);
    }

    /** An empty one, not yet sealed: until its first commit it doesn't count. */
    static StoreGeneration make(LogSegmentFile segment) {
        StoreGeneration storeGeneration = new StoreGeneration(segment);
        storeGeneration.seal = CommitSummary.NEW;
        storeGeneration.store = storeGeneration.environment.computeInTransaction(
                t -> storeGeneration.environment.openStore(STORE, StoreConfig.WITHOUT_DUPLICATES, t));
        storeGeneration.noteEnd();
        return storeGeneration;
    }

    /**
     * What is on this tape; null if its entries do not add up to its seal, or it has none.
     *
     * @throws UncheckedIOException if the disk does not read
     */
    static StoreGeneration read(LogSegmentFile segment) {
        StoreGeneration storeGeneration = null;
        try {
            storeGeneration = new StoreGeneration(segment);
            if (storeGeneration.check()) {
                storeGeneration.noteEnd();
                return storeGeneration;
            }
        } catch (StorageException e) {
            throw e;
        } catch (RuntimeException e) {
            UncheckedIOException io = ioIn(e);
            if (io != null) {
                throw io;
            }
        }
        if (storeGeneration != null) {
            storeGeneration.close();
        }
        return null;
    }

    static UncheckedIOException ioIn(Throwable thrown) {
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

    private boolean check() {
        if (!environment.computeInReadonlyTransaction(t -> environment.storeExists(STORE, t))) {
            return false;
        }
        store = environment.computeInReadonlyTransaction(
                t -> environment.openStore(STORE, StoreConfig.USE_EXISTING, t));
        return environment.computeInReadonlyTransaction(t -> {
            ByteIterable sealed = store.get(t, SEAL);
            seal = sealed == null ? null : CommitSummary.of(ValueChunks.bytes(sealed));
            if (seal == null) {
                return false;
            }
            long sum = 0;
            try (Cursor cursor = store.openCursor(t)) {
                while (cursor.getNext()) {
                    byte[] key = ValueChunks.bytes(cursor.getKey());
                    if (key[0] != ValueChunks.HEAD) {
                        continue;
                    }
                    byte[] value = ValueChunks.whole(store, t, key, ValueChunks.bytes(cursor.getValue()));
                    if (value == null) {
                        return false;
                    }
                    String name = ValueChunks.name(key);
                    Mark mark = new Mark(CommitSummary.part(ValueChunks.utf(name), value), value.length);
                    marks.put(name, mark);
                    live += value.length;
                    sum += mark.part();
                }
            }
            return marks.size() == seal.count() && sum == seal.sum();
        });
    }

    LogSegmentFile segment() {
        return segment;
    }

    /** Where the last commit that was kept ends. */
    long end() {
        return end;
    }

    /** Bytes of all values. */
    long live() {
        return live;
    }

    /** Bytes of all files. */
    long used() {
        return environment.getLog().getDiskUsage();
    }

    long commits() {
        return seal.commit();
    }

    byte[] get(String key) {
        return environment.computeInReadonlyTransaction(t -> {
            byte[] head = ValueChunks.head(key);
            ByteIterable found = store.get(t, new ArrayByteIterable(head));
            return found == null ? null : ValueChunks.whole(store, t, head, ValueChunks.bytes(found));
        });
    }

    /** All whose keys begin so, by key. */
    List<Map.Entry<String, byte[]>> prefix(String prefix) {
        return environment.computeInReadonlyTransaction(t -> {
            List<Map.Entry<String, byte[]>> found = new ArrayList<>();
            try (Cursor cursor = store.openCursor(t)) {
                ByteIterable value = cursor.getSearchKeyRange(new ArrayByteIterable(ValueChunks.head(prefix)));
                while (value != null) {
                    byte[] key = ValueChunks.bytes(cursor.getKey());
                    if (key[0] != ValueChunks.HEAD || !ValueChunks.name(key).startsWith(prefix)) {
                        break;
                    }
                    found.add(Map.entry(
                            ValueChunks.name(key),
                            ValueChunks.whole(store, t, key, ValueChunks.bytes(cursor.getValue()))));
                    value = cursor.getNext() ? cursor.getValue() : null;
                }
            }
            return found;
        });
    }

    /** Durable on return; throws what Xodus or the disk throws, and is then to be closed. */
    void commit(List<KeyChange> changes) {
        Map<String, Mark> changed = new HashMap<>();
        CommitSummary next = seal.next();
        Transaction t = environment.beginExclusiveTransaction();
        try {
            for (KeyChange change : changes) {
                Mark old = changed.containsKey(change.key()) ? changed.get(change.key()) : marks.get(change.key());
                Mark now = change.value() == null
                        ? null
                        : new Mark(
                                CommitSummary.part(ValueChunks.utf(change.key()), change.value()),
                                change.value().length);
                ValueChunks.put(store, t, change, old == null ? 0 : old.length());
                changed.put(change.key(), now);
                next = next.with(old == null ? 0 : old.part(), now == null ? 0 : now.part());
            }
            store.put(t, SEAL, new ArrayByteIterable(next.bytes()));
            if (!t.commit()) {
                throw new IllegalStateException("another wrote at the same time");
            }
        } finally {
            if (!t.isFinished()) {
                t.abort();
            }
        }
        changed.forEach(this::note);
        seal = next;
        noteEnd();
    }

    private void note(String key, Mark now) {
        Mark old = now == null ? marks.remove(key) : marks.put(key, now);
        live += (now == null ? 0 : now.length()) - (old == null ? 0 : old.length());
    }

    /** Copies all into an empty vault, in one commit. */
    void copyTo(StoreGeneration other) {
        List<KeyChange> all = new ArrayList<>();
        prefix("").forEach(entry -> all.add(new KeyChange(entry.getKey(), entry.getValue())));
        other.seal = new CommitSummary(seal.commit(), 0, 0);
        other.commit(all);
    }

    /** Writes nothing more. */
    void close() {
        segment.kill();
        try {
            environment.close();
        } catch (RuntimeException e) {
            KeyValueStore.LOG.debug("closed-badly", "why", e);
        }
    }

    private void noteEnd() {
        end = environment.getLog().getHighAddress();
    }
}
