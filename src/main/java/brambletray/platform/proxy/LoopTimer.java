package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A single timer on the event loop that fires at the earliest of the times that it is set to. */
final class LoopTimer {
    private final Machine machine;
    private final Runnable action;
    /** Null while the timer is not set. */
    private Future<?> pending;
    /** When the timer fires, ms of the monotonic clock. */
    private long dueMs;

    LoopTimer(Machine machine, Runnable action) {
        this.machine = machine;
        this.action = action;
    }

    /** Sets the timer to this time, unless it is already set to an earlier one. */
    void set(long atMs, long nowMs) {
        if (pending == null || dueMs > atMs) {
            stop();
            dueMs = atMs;
            pending = machine.loop().schedule(this::run, Math.max(0, atMs - nowMs), TimeUnit.MILLISECONDS);
        }
    }

    boolean isSet() {
        return pending != null;
    }

    private void run() {
        pending = null;
        action.run();
    }

    void stop() {
        if (pending != null) {
            pending.cancel(false);
            pending = null;
        }
    }
}
