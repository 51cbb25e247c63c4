package brambletray.platform.storage;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Group commit: performs durable writes for the event loop on a dedicated thread. All pending commits are merged into
 * one, in order; of several changes of one key, only the last is written. Callbacks run on the event loop, in the order
 * of the requests. Failed commits are not retried.
 */
public final class SyncWriter implements AutoCloseable, DurableStore {
    /** The storage written to: a {@link KeyValueStore}, or a test double. */
    public interface Disk {
        /** Writes and syncs the changes; durable on return. */
        void commit(List<KeyChange> changes) throws StorageException;

        /** Called after each successful commit, as an opportunity to compact. */
        default void compact() {}
    }

    /** Limits on pending commits: their number, and the total size of their values. */
    public static final int MAX_PENDING_COMMITS = 4_096;

    public static final long MAX_PENDING_BYTES = 16L << 20;

    private static final EventLog LOG = EventLog.of("storage");

    private final Disk disk;
    private final Executor loop;
    private final CommitQueue queue;
    private final Thread thread;
    /** Called on the event loop after each accepted commit. */
    private final Runnable onPending;

    /** Starts the writer thread; {@code loop} runs the callbacks. */
    public SyncWriter(Disk disk, Executor loop) {
        this.disk = disk;
        this.loop = loop;
        queue = createQueue(new ReentrantLock());
        onPending = () -> {};
        thread = new Thread(this::run, "scribe");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Creates a writer without a thread, for simulated time: {@code onPending} is called after each accepted commit,
     * and {@link #pollBatch} takes the pending commits.
     */
    SyncWriter(Disk disk, Executor loop, Runnable onPending) {
        this.disk = disk;
        this.loop = loop;
        this.onPending = onPending;
        queue = createQueue(new ReentrantLock());
        thread = null;
    }

    /**
     * Creates a writer without a thread, for tests that control the interleaving: they call {@link #run} themselves.
     */
    SyncWriter(Disk disk, Executor loop, ReentrantLock lock) {
        this.disk = disk;
        this.loop = loop;
        onPending = () -> {};
        queue = createQueue(lock);
        thread = null;
    }

    private static CommitQueue createQueue(ReentrantLock lock) {
        return new CommitQueue(MAX_PENDING_COMMITS, MAX_PENDING_BYTES, lock);
    }

    /** {@inheritDoc} {@code nowMs}: of the same clock as the argument of {@link #oldestWaitMs}. */
    @Override
    public boolean commit(List<KeyChange> changes, long nowMs, CommitCallback callback) {
        long bytes = 0;
        for (KeyChange change : changes) {
            bytes += change.value() == null ? 0 : change.value().length;
        }
        boolean accepted = queue.add(new CommitQueue.Entry(changes, callback, nowMs, bytes));
        if (accepted) {
            onPending.run();
        }
        return accepted;
    }

    /** Age in ms of the oldest commit that is pending or being written; 0 if there is none. */
    public long oldestWaitMs(long nowMs) {
        return queue.oldestWaitMs(nowMs);
    }

    /** Number of commits that are pending or being written. */
    public int pending() {
        return queue.size();
    }

    /** Rejects further commits; pending ones are still written. Does not wait for that, because a disk may hang. */
    @Override
    public void close() {
        queue.close();
    }

    /** Closes the writer and waits up to {@code timeoutMs} for pending commits; returns whether all are done. */
    public boolean drain(long timeoutMs) {
        close();
        try {
            thread.join(timeoutMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return !thread.isAlive();
    }

    /** Writes until the queue is closed and empty; the body of the writer thread. */
    void run() {
        for (List<CommitQueue.Entry> entries = queue.take(); entries != null; entries = queue.take()) {
            writeBatch(entries);
        }
    }

    private void writeBatch(List<CommitQueue.Entry> entries) {
        StorageException error = tryWrite(entries);
        queue.markFinished();
        notifyCallbacks(entries, error);
        if (error == null) {
            compact();
        }
    }

    /**
     * Takes all pending commits, as the writer thread would. Returns a task, to be run once, that writes them and runs
     * their callbacks; null if nothing is pending.
     */
    Runnable pollBatch() {
        List<CommitQueue.Entry> entries = queue.poll();
        return entries == null ? null : () -> writeBatch(entries);
    }

    private void compact() {
        try {
            disk.compact();
        } catch (RuntimeException e) {
            LOG.warn("cleanup-failed").with("why", e).log();
        }
    }

    private StorageException tryWrite(List<CommitQueue.Entry> entries) {
        List<KeyChange> changes = entries.size() == 1 ? entries.get(0).changes() : mergeChanges(entries);
        try {
            disk.commit(changes);
            return null;
        } catch (StorageException e) {
            LOG.warn("commit-failed")
                    .with("code", e.code())
                    .with("commits", entries.size())
                    .with("changes", changes.size())
                    .with("why", e.getMessage())
                    .log();
            return e;
        } catch (RuntimeException | Error e) {
            LOG.warn("commit-failed")
                    .with("commits", entries.size())
                    .with("changes", changes.size())
                    .with("why", e)
                    .log();
            return new StorageException("storage.refused", "cannot write: " + e, e);
        }
    }

    private static List<KeyChange> mergeChanges(List<CommitQueue.Entry> entries) {
        Map<String, KeyChange> latest = new HashMap<>();
        for (CommitQueue.Entry entry : entries) {
            for (KeyChange change : entry.changes()) {
                latest.put(change.key(), change);
            }
        }
        return new ArrayList<>(latest.values());
    }

    private void notifyCallbacks(List<CommitQueue.Entry> entries, StorageException error) {
        try {
            loop.execute(() -> {
                for (CommitQueue.Entry entry : entries) {
                    if (error == null) {
                        entry.callback().onCommitted();
                    } else {
                        entry.callback().onFailed(error);
                    }
                }
            });
        } catch (RuntimeException e) {
            LOG.debug("event-loop-closed").with("why", e).log();
        }
    }
}
