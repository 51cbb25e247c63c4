package brambletray.platform.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The commits between the loop, which asks for them, and the thread that writes them. This is all that the two share:
 * each method is one
 * critical section under one lock, held for no longer than a few field accesses and never while the disk works.
 */
final class CommitQueue {
    /** A commit that was asked for; {@code askedAt}: ms of the steady clock, {@code bytes}: of its values. */
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

    /** {@code maxCommits}, {@code maxBytes}: what may wait; a single commit may be larger. */
    CommitQueue(int maxCommits, long maxBytes, ReentrantLock lock) {
        this.maxCommits = maxCommits;
        this.maxBytes = maxBytes;
        this.lock = lock;
        this.stateChanged = lock.newCondition();
    }

    /** Returns false, and takes nothing, if too much waits or the queue is closed. */
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
     * Takes all that waits, as what is being written from now on; waits for the first. Null: closed, and nothing waits.
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

    /** The same without waiting: null if nothing waits. */
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

    /** What was taken last has been written, or has failed. */
    void markFinished() {
        lock.lock();
        try {
            writingSinceMs = NOT_WRITING;
            writingCount = 0;
        } finally {
            lock.unlock();
        }
    }

    /** ms that the oldest commit has waited at {@code nowMs}, on the disk or for it; 0 if there is none. */
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

    /** Commits that wait or are being written. */
    int size() {
        lock.lock();
        try {
            return pending.size() + writingCount;
        } finally {
            lock.unlock();
        }
    }

    /** Takes no more; what waits can still be taken. */
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
