package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Runs one task at the earliest time that was requested since it last ran, and only then: a later timer that is
 * replaced by an earlier one is cancelled, because each timer that fires wakes the process up. Confined to the event
 * loop; times are monotonic ms.
 */
final class EarliestTimer {
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    /** Time in ms past its due time after which a run counts as lost. */
    private static final int MAX_DELAY_MS = 200;

    private final Machine machine;
    private final Runnable task;
    private ScheduledFuture<?> scheduled;
    private long dueMs = NOT_SCHEDULED;

    EarliestTimer(Machine machine, Runnable task) {
        this.machine = machine;
        this.task = task;
    }

    /** Requests a run at this time at the latest. */
    void schedule(long atMs) {
        if (atMs < dueMs) {
            cancel();
            dueMs = atMs;
            long delayMs = Math.max(1, atMs - machine.clock().nanos() / 1_000_000);
            scheduled = machine.loop().schedule(this::run, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Schedules a run now if none is pending, for example because the last run failed before scheduling the next. */
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
