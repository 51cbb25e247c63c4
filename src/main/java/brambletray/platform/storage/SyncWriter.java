package brambletray.platform.storage;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Writes for the loop, on a thread of its own: all that waits goes into one durable commit, in order; of several
 * changes of one key only the last is written. Who asked hears on the loop, in the order of asking. A failed commit is
 * not tried again.
 */
public final class SyncWriter implements AutoCloseable, DurableStore {
    /** What is written to; {@link KeyValueStore#commit}, or a stand-in. */
    public interface Disk {
        void commit(List<KeyChange> changes) throws StorageException;

        /** Nothing waits for an answer now: time to put things in entry. */
        default void tidy() {}
    }

    /** Commits, and bytes of their values, that may wait. */
    public static final int MOST_COMMITS = 4_096;

    public static final long MOST_BYTES = 16L << 20;

    private static final EventLog LOG = EventLog.of("storage");

    private final Disk disk;
    private final Executor loop;
    private final CommitQueue queue;
    private final Thread thread;
    /** Called on the loop after each commit that was taken in. */
    private final Runnable due;

    /** Starts the thread; {@code loop} runs the replies. */
    public SyncWriter(Disk disk, Executor loop) {
        this.disk = disk;
        this.loop = loop;
        queue = queue(new ReentrantLock());
        due = () -> {};
        thread = new Thread(this::run, "scribe");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Without a thread, for simulated time: {@code due} is called whenever something has come to wait, {@link #batch}
     * takes it.
     */
    SyncWriter(Disk disk, Executor loop, Runnable due) {
        this.disk = disk;
        this.loop = loop;
        this.due = due;
        queue = queue(new ReentrantLock());
        thread = null;
    }

    /** Without a thread, for tests that choose the turns: {@link #run} is called on one of theirs. */
    SyncWriter(Disk disk, Executor loop, ReentrantLock lock) {
        this.disk = disk;
        this.loop = loop;
        due = () -> {};
        queue = queue(lock);
        thread = null;
    }

    private static CommitQueue queue(ReentrantLock lock) {
        return new CommitQueue(MOST_COMMITS, MOST_BYTES, lock);
    }

    /** {@inheritDoc} {@code now}: as {@link #oldestWaitMs} will be asked with. */
    @Override
    public boolean commit(List<KeyChange> changes, long now, Reply reply) {
        long bytes = 0;
        for (KeyChange change : changes) {
            bytes += change.value() == null ? 0 : change.value().length;
        }
        boolean taken = queue.add(new CommitQueue.Entry(changes, reply, now, bytes));
        if (taken) {
            due.run();
        }
        return taken;
    }

    /** ms that the commit which has waited longest has waited, on the disk or for it; 0 if none does. */
    public long oldestWaitMs(long now) {
        return queue.oldestWaitMs(now);
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
    public boolean drain(long ms) {
        close();
        try {
            thread.join(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return !thread.isAlive();
    }

    /** Writes until the queue is closed and empty: what the thread does. */
    void run() {
        for (List<CommitQueue.Entry> entries = queue.take(); entries != null; entries = queue.take()) {
            finish(entries);
        }
    }

    private void finish(List<CommitQueue.Entry> entries) {
        StorageException fault = write(entries);
        queue.finished();
        reply(entries, fault);
        if (fault == null) {
            tidy();
        }
    }

    /**
     * All that waits, taken as the thread would take it: the rest, to be run once, writes it and replies. Null: nothing
     * waits.
     */
    Runnable batch() {
        List<CommitQueue.Entry> entries = queue.poll();
        return entries == null ? null : () -> finish(entries);
    }

    private void tidy() {
        try {
            disk.tidy();
        } catch (RuntimeException e) {
            LOG.warn("not-tidied", "why", e);
        }
    }

    private StorageException write(List<CommitQueue.Entry> entries) {
        List<KeyChange> changes = entries.size() == 1 ? entries.get(0).changes() : merged(entries);
        try {
            disk.commit(changes);
            return null;
        } catch (StorageException e) {
            LOG.warn(
                    "commit-failed",
                    "code",
                    e.code(),
                    "commits",
                    entries.size(),
                    "changes",
                    changes.size(),
                    "why",
                    e.getMessage());
            return e;
        } catch (RuntimeException | Error e) {
            LOG.warn("commit-failed", "commits", entries.size(), "changes", changes.size(), "why", e);
            return new StorageException("storage.refused", "cannot write: " + e, e);
        }
    }

    private static List<KeyChange> merged(List<CommitQueue.Entry> entries) {
        Map<String, KeyChange> last = new HashMap<>();
        for (CommitQueue.Entry entry : entries) {
            for (KeyChange change : entry.changes()) {
                last.put(change.key(), change);
            }
        }
        return new ArrayList<>(last.values());
    }

    private void reply(List<CommitQueue.Entry> entries, StorageException fault) {
        try {
            loop.execute(() -> {
                for (CommitQueue.Entry entry : entries) {
                    if (fault == null) {
                        entry.reply().done();
                    } else {
                        entry.reply().failed(fault);
                    }
                }
            });
        } catch (RuntimeException e) {
            LOG.debug("loop-is-gone", "why", e);
        }
    }
}
