package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import java.util.concurrent.TimeUnit;

/**
 * Runs the tick of the service queues at the earliest time that any of them has requested, and no more often. For the
 * event loop only; times are steady ms.
 */
final class AdmissionTimer {
    private static final long NOT_SCHEDULED = Long.MAX_VALUE;
    /** ms past its time after which a tick counts as lost. */
    private static final int MAX_DELAY_MS = 200;

    private final Machine machine;
    private final Runnable tick;
    private long dueMs = NOT_SCHEDULED;

    AdmissionTimer(Machine machine, Runnable tick) {
        this.machine = machine;
        this.tick = tick;
    }

    /** Requests a tick at this time, or earlier. */
    void schedule(long atMs) {
        if (atMs < dueMs) {
            dueMs = atMs;
            long delayMs = Math.max(1, atMs - machine.clock().nanos() / 1_000_000);
            machine.loop().schedule(() -> run(atMs), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** Schedules a tick where a former one failed before it could request the next. */
    void recover(long nowMs) {
        if (dueMs == NOT_SCHEDULED || nowMs - dueMs > MAX_DELAY_MS) {
            dueMs = NOT_SCHEDULED;
            schedule(nowMs);
        }
    }

    private void run(long atMs) {
        if (atMs == dueMs) {
            dueMs = NOT_SCHEDULED;
            tick.run();
        }
    }
}
