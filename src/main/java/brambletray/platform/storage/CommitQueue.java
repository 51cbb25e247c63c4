package brambletray.platform.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The queue of commits between the event loop, which requests them, and the writer thread. It is the only state that
 * the two share: each method is one critical section under one lock, held only for a few field accesses and never
 * during disk I/O.
 */
final class CommitQueue {
    /**
     * A requested commit. {@code requestedAtMs}: ms of the monotonic clock; {@code valueBytes}: total size of its
     * values.
     */
    record Entry(List<KeyChange> changes, DurableStore.CommitCallback callback, long requestedAtMs, long valueBytes) {}

    private static final long NOT_WRITING = -1;

    private final int maxCommits;
    private final long maxBytes;
    private final ReentrantLock lock;
    private final Condition stateChanged;

    private List<Entry> pending = new ArrayList<>();
    private long pendingBytes;
    private long writingSinceMs = NOT_WRITING;
    private int writingCount;
    private boolean closed;

    /** {@code maxCommits}, {@code maxBytes}: limits on pending commits; a single commit may exceed {@code maxBytes}. */
    CommitQueue(int maxCommits, long maxBytes, ReentrantLock lock) {
        this.maxCommits = maxCommits;
        this.maxBytes = maxBytes;
        this.lock = lock;
        this.stateChanged = lock.newCondition();
    }

    /** Returns false, without adding the entry, if a limit is reached or the queue is closed. */
    boolean add(Entry entry) {
        lock.lock();
        try {
            boolean full = pending.size() >= maxCommits;
            boolean tooLarge = pendingBytes > 0 && pendingBytes + entry.valueBytes() > maxBytes;
            if (closed || full || tooLarge) {
                return false;
            }
            pending.add(entry);
            pendingBytes += entry.valueBytes();
            stateChanged.signal();
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until a commit is pending, then takes all pending commits and marks them as being written. Returns null if
     * the queue is closed and empty.
     */
    List<Entry> take() {
        lock.lock();
        try {
            while (pending.isEmpty() && !closed) {
                stateChanged.await();
            }
            return pending.isEmpty() ? null : takeAll();
        } catch (InterruptedException e) {
            closed = true;
            return pending.isEmpty() ? null : takeAll();
        } finally {
            lock.unlock();
        }
    }

    /** Like {@link #take}, without waiting; null if nothing is pending. */
    List<Entry> poll() {
        lock.lock();
        try {
            return pending.isEmpty() ? null : takeAll();
        } finally {
            lock.unlock();
        }
    }

    private List<Entry> takeAll() {
        List<Entry> taken = pending;
        pending = new ArrayList<>();
        pendingBytes = 0;
        writingSinceMs = Math.max(0, taken.get(0).requestedAtMs());
        writingCount = taken.size();
        return taken;
    }

    /** The commits taken last have been written or have failed. */
    void markFinished() {
        lock.lock();
        try {
            writingSinceMs = NOT_WRITING;
            writingCount = 0;
        } finally {
            lock.unlock();
        }
    }

    /** Age in ms, at {@code nowMs}, of the oldest commit that is pending or being written; 0 if there is none. */
    long oldestWaitMs(long nowMs) {
        lock.lock();
        try {
            if (writingSinceMs != NOT_WRITING) {
                return Math.max(0, nowMs - writingSinceMs);
            }
            return pending.isEmpty() ? 0 : Math.max(0, nowMs - pending.get(0).requestedAtMs());
        } finally {
            lock.unlock();
        }
    }

    /** Number of commits that are pending or being written. */
    int size() {
        lock.lock();
        try {
            return pending.size() + writingCount;
        } finally {
            lock.unlock();
        }
    }

    /** Rejects further commits; pending ones can still be taken. */
    void close() {
        lock.lock();
        try {
            closed = true;
            stateChanged.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
