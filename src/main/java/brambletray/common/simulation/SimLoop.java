package brambletray.common.simulation;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.ManualIoEventLoop;
import io.netty.util.concurrent.Ticker;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * The event loop of one simulated machine. It runs only when the {@link Simulation} steps it, on the thread
 * that made it; its timers go by the simulated ticker.
 */
final class SimLoop extends ManualIoEventLoop {
    private record Arrival(long at, long number, Runnable what) {}

    private final Ticker ticker;
    /** What is on the way here or unread, in the order of its coming. */
    private final PriorityQueue<Arrival> arrivals =
            new PriorityQueue<>(Comparator.comparingLong(Arrival::at).thenComparing(Arrival::number));

    private long arrivalsMade;
    /** On the ticker, ns; {@link Long#MIN_VALUE}: it runs. */
    private long frozenUntil = Long.MIN_VALUE;

    SimLoop(Ticker ticker) {
        super(null, Thread.currentThread(), executor -> new NoIo(), ticker);
        this.ticker = ticker;
    }

    void freeze(long until) {
        frozenUntil = until;
    }

    /** Something arrives from the network at this time, on the ticker, ns. */
    void arrive(long at, Runnable what) {
        arrivals.add(new Arrival(at, arrivalsMade++, what));
        schedule(this::read, at - ticker.nanoTime(), TimeUnit.NANOSECONDS);
    }

    /** The next arrival, unless it has been read already. */
    private void read() {
        Arrival first = arrivals.peek();
        if (first != null && first.at() <= ticker.nanoTime()) {
            arrivals.poll().what().run();
        }
    }

    /** Does what is due; how much that was. */
    int step() {
        if (frozenUntil != Long.MIN_VALUE) {
            if (ticker.nanoTime() < frozenUntil) {
                return 0;
            }
            frozenUntil = Long.MIN_VALUE;
            for (Arrival arrival : arrivals) {
                if (arrival.at() <= ticker.nanoTime()) {
                    execute(this::read);
                }
            }
        }
        return runNow();
    }

    /** When its next timer is due, on the ticker, ns; {@link Long#MAX_VALUE} for none. */
    long nextDeadline() {
        if (frozenUntil != Long.MIN_VALUE) {
            return frozenUntil;
        }
        long deadline = nextScheduledTaskDeadlineNanos();
        return deadline < 0 ? Long.MAX_VALUE : deadline;
    }

    /** Simulated channels need no selector: what the network brings comes as tasks. */
    private static final class NoIo implements IoHandler {
        @Override
        public int run(IoHandlerContext context) {
            return 0;
        }

        @Override
        public IoRegistration register(IoHandle handle) {
            throw new UnsupportedOperationException("simulated channels register nothing");
        }

        @Override
        public void wakeup() {
            // One thread: nobody waits.
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return false;
        }
    }
}
