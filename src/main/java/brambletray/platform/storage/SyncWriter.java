package brambletray.platform.storage;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Group commit: writes for the event loop, on a thread of its own. All pending commits go into one durable commit, in
 * order; of several changes of one key only the last is written. Callbacks run on the loop, in the order of the
 * requests. A failed commit is not tried again.
 */
public final class SyncWriter implements AutoCloseable, DurableStore {
    /** What is written to; {@link KeyValueStore#commit}, or a stand-in. */
    public interface Disk {
        /** Writes and syncs the changes; they are durable when it returns. */
        void commit(List<KeyChange> changes) throws StorageException;

        /** Nothing is pending now: time to compact. */
        default void compact() {}
    }

    /** Commits, and bytes of their values, that may wait. */
    public static final int MAX_PENDING_COMMITS = 4_096;

    public static final long MAX_PENDING_BYTES = 16L << 20;

    private static final EventLog LOG = EventLog.of("storage");

    private final Disk disk;
    private final Executor loop;
    private final CommitQueue queue;
    private final Thread thread;
    /** Called on the loop after each commit that was taken in. */
    private final Runnable onPending;

    /** Starts the thread; {@code loop} runs the replies. */
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
     * Without a thread, for simulated time: {@code onPending} is called whenever something has come to wait, {@link
     * #pollBatch} takes it.
     */
    SyncWriter(Disk disk, Executor loop, Runnable onPending) {
        this.disk = disk;
        this.loop = loop;
        this.onPending = onPending;
        queue = createQueue(new ReentrantLock());
        thread = null;
    }

    /** Without a thread, for tests that choose the turns: {@link #run} is called on one of theirs. */
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

    /** {@inheritDoc} {@code nowMs}: as {@link #oldestWaitMs} will be asked with. */
    @Override
    public boolean commit(List<KeyChange> changes, long nowMs, CommitCallback callback) {
        long bytes = 0;
        for (KeyChange change : changes) {
            bytes += change.value() == null ? 0 : change.value().length;
        }
        boolean taken = queue.add(new CommitQueue.Entry(changes, callback, nowMs, bytes));
        if (taken) {
            onPending.run();
        }
        return taken;
    }

    /** ms that the commit which has waited longest has waited, on the disk or for it; 0 if none does. */
    public long oldestWaitMs(long nowMs) {
        return queue.oldestWaitMs(nowMs);
    }

    /** Commits that wait or are being written. */
    public int pending() {
        return queue.size();
    }

    /** Takes no more; what waits is still written. Does not wait for it: a disk may hang. */
    @Override
    public void close() {
        queue.close();
    }

    /** Waits up to so many ms for all that was asked for; true if it is done. */
    public boolean drain(long timeoutMs) {
        close();
        try {
            thread.join(timeoutMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return !thread.isAlive();
    }

    /** Writes until the queue is closed and empty: what the thread does. */
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
     * All that waits, taken as the thread would take it: the rest, to be run once, writes it and replies. Null: nothing
     * waits.
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
        Map<String, KeyChange> last = new HashMap<>();
        for (CommitQueue.Entry entry : entries) {
            for (KeyChange change : entry.changes()) {
                last.put(change.key(), change);
            }
        }
        return new ArrayList<>(last.values());
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
