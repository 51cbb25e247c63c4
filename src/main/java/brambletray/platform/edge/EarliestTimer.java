package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs one task at the earliest time that was requested since it last ran, and no more often: a time that an earlier
 * one replaces is taken off the loop, as each timer that fires is a wake-up of the process. For the event loop only;
 * times are steady ms.
 */
final class EarliestTimer {
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    /** ms past its time after which a run counts as lost. */
    private static final int MAX_DELAY_MS = 200;

    private final Machine machine;
    private final Runnable task;
    private ScheduledFuture<?> scheduled;
    private long dueMs = NOT_SCHEDULED;

    EarliestTimer(Machine machine, Runnable task) {
        this.machine = machine;
        this.task = task;
    }

    /** Requests a run at this time, or earlier. */
    void schedule(long atMs) {
        if (atMs < dueMs) {
            cancel();
            dueMs = atMs;
            long delayMs = Math.max(1, atMs - machine.clock().nanos() / 1_000_000);
            scheduled = machine.loop().schedule(this::run, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Schedules a run where a former one failed before it could request the next. */
    void recover(long nowMs) {
        if (dueMs == NOT_SCHEDULED || nowMs - dueMs > MAX_DELAY_MS) {
            dueMs = NOT_SCHEDULED;
            schedule(nowMs);
        }
    }

    private void cancel() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }

    private void run() {
        scheduled = null;
        dueMs = NOT_SCHEDULED;
        task.run();
    }
}
