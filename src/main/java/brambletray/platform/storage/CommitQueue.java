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
    record Entry(List<KeyChange> changes, DurableStore.Reply reply, long askedAt, long bytes) {}

    private static final long NOTHING_IS_WRITTEN = -1;

    private final int mostCommits;
    private final long mostBytes;
    private final ReentrantLock lock;
    private final Condition changed;

    private List<Entry> waiting = new ArrayList<>();
    private long waitingBytes;
    private long writtenSince = NOTHING_IS_WRITTEN;
    private int written;
    private boolean closed;

    /** {@code mostCommits}, {@code mostBytes}: what may wait; a single commit may be larger. */
    CommitQueue(int mostCommits, long mostBytes, ReentrantLock lock) {
        this.mostCommits = mostCommits;
        this.mostBytes = mostBytes;
        this.lock = lock;
        this.changed = lock.newCondition();
    }

    /** Returns false, and takes nothing, if too much waits or the queue is closed. */
    boolean add(Entry entry) {
        lock.lock();
        try {
            boolean full = waiting.size() >= mostCommits;
            boolean tooLarge = waitingBytes > 0 && waitingBytes + entry.bytes() > mostBytes;
            if (closed || full || tooLarge) {
                return false;
            }
            waiting.add(entry);
            waitingBytes += entry.bytes();
            changed.signal();
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
            while (waiting.isEmpty() && !closed) {
                changed.await();
            }
            return waiting.isEmpty() ? null : takeAll();
        } catch (InterruptedException e) {
            closed = true;
            return waiting.isEmpty() ? null : takeAll();
        } finally {
            lock.unlock();
        }
    }

    /** The same without waiting: null if nothing waits. */
    List<Entry> poll() {
        lock.lock();
        try {
            return waiting.isEmpty() ? null : takeAll();
        } finally {
            lock.unlock();
        }
    }

    private List<Entry> takeAll() {
        List<Entry> taken = waiting;
        waiting = new ArrayList<>();
        waitingBytes = 0;
        writtenSince = Math.max(0, taken.get(0).askedAt());
        written = taken.size();
        return taken;
    }

    /** What was taken last has been written, or has failed. */
    void finished() {
        lock.lock();
        try {
            writtenSince = NOTHING_IS_WRITTEN;
            written = 0;
        } finally {
            lock.unlock();
        }
    }

    /** ms that the oldest commit has waited at {@code now}, on the disk or for it; 0 if there is none. */
    long oldestWaitMs(long now) {
        lock.lock();
        try {
            if (writtenSince != NOTHING_IS_WRITTEN) {
                return Math.max(0, now - writtenSince);
            }
            return waiting.isEmpty() ? 0 : Math.max(0, now - waiting.get(0).askedAt());
        } finally {
            lock.unlock();
        }
    }

    /** Commits that wait or are being written. */
    int size() {
        lock.lock();
        try {
            return waiting.size() + written;
        } finally {
            lock.unlock();
        }
    }

    /** Takes no more; what waits can still be taken. */
    void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }
}
