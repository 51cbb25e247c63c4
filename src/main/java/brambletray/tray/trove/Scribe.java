package brambletray.tray.trove;

import brambletray.tray.tale.Tale;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;

/**
 * Writes for the loop, on a thread of its own: all that waits goes into one durable commit, in order; of several
 * changes of one key only the last is written. Who asked hears on the loop, in the order of asking. A failed commit is
 * not tried again.
 */
public final class Scribe implements AutoCloseable, DurableStore {
    /** What is written to; {@link Trove#commit}, or a stand-in. */
    public interface Disk {
        void commit(List<Change> changes) throws TroveFault;

        /** Nothing waits for an answer now: time to put things in order. */
        default void tidy() {}
    }

    /** Commits, and bytes of their values, that may wait. */
    public static final int MOST_COMMITS = 4_096;

    public static final long MOST_BYTES = 16L << 20;

    private static final Tale TALE = Tale.of("trove");

    private record Order(List<Change> changes, Reply reply, long since, long bytes) {}

    private final Disk disk;
    private final Executor loop;
    private final Thread thread;
    /** Called under the lock. */
    private final Runnable due;

    private List<Order> waiting = new ArrayList<>();
    private long waitingBytes;
    private long writingSince = -1;
    private int writing;
    private boolean closed;

    /** Starts the thread; {@code loop} runs the replies. */
    public Scribe(Disk disk, Executor loop) {
        this.disk = disk;
        this.loop = loop;
        due = this::notifyAll;
        thread = new Thread(this::run, "scribe");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Without a thread, for simulated time: {@code due} is called whenever something has come to wait, {@link #batch}
     * takes it.
     */
    Scribe(Disk disk, Executor loop, Runnable due) {
        this.disk = disk;
        this.loop = loop;
        this.due = due;
        thread = null;
    }

    /** {@inheritDoc} {@code now}: as {@link #oldestWaitMs} will be asked with. */
    @Override
    public boolean commit(List<Change> changes, long now, Reply reply) {
        long bytes = 0;
        for (Change change : changes) {
            bytes += change.value() == null ? 0 : change.value().length;
        }
        synchronized (this) {
            if (closed || waiting.size() >= MOST_COMMITS || waitingBytes > 0 && waitingBytes + bytes > MOST_BYTES) {
                return false;
            }
            waiting.add(new Order(changes, reply, now, bytes));
            waitingBytes += bytes;
            due.run();
        }
        return true;
    }

    /** ms that the commit which has waited longest has waited, on the disk or for it; 0 if none does. */
    public synchronized long oldestWaitMs(long now) {
        if (writingSince >= 0) {
            return Math.max(0, now - writingSince);
        }
        return waiting.isEmpty() ? 0 : Math.max(0, now - waiting.get(0).since());
    }

    /** Commits that wait or are being written. */
    public synchronized int pending() {
        return waiting.size() + writing;
    }

    /** Takes no more; what waits is still written. Does not wait for it: a disk may hang. */
    @Override
    public synchronized void close() {
        closed = true;
        notifyAll();
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

    private void run() {
        for (List<Order> orders = take(); orders != null; orders = take()) {
            finish(orders);
        }
    }

    private void finish(List<Order> orders) {
        TroveFault fault = write(orders);
        synchronized (this) {
            writingSince = -1;
            writing = 0;
        }
        reply(orders, fault);
        if (fault == null) {
            tidy();
        }
    }

    /**
     * All that waits, taken as the thread would take it: the rest, to be run once, writes it and replies. Null: nothing
     * waits.
     */
    synchronized Runnable batch() {
        if (waiting.isEmpty()) {
            return null;
        }
        List<Order> orders = take();
        return () -> finish(orders);
    }

    private void tidy() {
        try {
            disk.tidy();
        } catch (RuntimeException e) {
            TALE.warn("not-tidied", "why", e);
        }
    }

    private synchronized List<Order> take() {
        while (waiting.isEmpty() && !closed) {
            try {
                wait();
            } catch (InterruptedException e) {
                closed = true;
            }
        }
        if (waiting.isEmpty()) {
            return null;
        }
        List<Order> orders = waiting;
        waiting = new ArrayList<>();
        waitingBytes = 0;
        writingSince = Math.max(0, orders.get(0).since());
        writing = orders.size();
        return orders;
    }

    private TroveFault write(List<Order> orders) {
        List<Change> changes = orders.size() == 1 ? orders.get(0).changes() : merged(orders);
        try {
            disk.commit(changes);
            return null;
        } catch (TroveFault e) {
            TALE.warn(
                    "commit-failed",
                    "code",
                    e.code(),
                    "commits",
                    orders.size(),
                    "changes",
                    changes.size(),
                    "why",
                    e.getMessage());
            return e;
        } catch (RuntimeException | Error e) {
            TALE.warn("commit-failed", "commits", orders.size(), "changes", changes.size(), "why", e);
            return new TroveFault("trove.refused", "cannot write: " + e, e);
        }
    }

    private static List<Change> merged(List<Order> orders) {
        Map<String, Change> last = new HashMap<>();
        for (Order order : orders) {
            for (Change change : order.changes()) {
                last.put(change.key(), change);
            }
        }
        return new ArrayList<>(last.values());
    }

    private void reply(List<Order> orders, TroveFault fault) {
        try {
            loop.execute(() -> {
                for (Order order : orders) {
                    if (fault == null) {
                        order.reply().done();
                    } else {
                        order.reply().failed(fault);
                    }
                }
            });
        } catch (RuntimeException e) {
            TALE.debug("loop-is-gone", "why", e);
        }
    }
}
