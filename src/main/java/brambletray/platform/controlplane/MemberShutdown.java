package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.logging.EventLog;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The planned end of this process after SIGTERM: it ends once the others go on without it and the calls under way have
 * their answers, or when the time that it has is over. For the event loop only; times are steady ms.
 */
final class MemberShutdown {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** ms for its last responses to be sent. */
    private static final int FLUSH_MS = 100;
    /** ms that a process stays at least after SIGTERM, so that the others learn that the lease is released. */
    private static final int MIN_SHUTDOWN_MS = 300;
    /** ms, or a tenth of the time for leaving if that is less, after which the process ends in any case. */
    private static final int MAX_EXTRA_MS = 500;

    private static final long NOT_YET = -1;

    private final Machine machine;
    private final Runnable exit;
    private final BooleanSupplier mayTerminate;
    private final BooleanSupplier isIdle;
    private long startedAtMs = NOT_YET;
    private long removedAtMs = NOT_YET;

    /**
     * {@code mayTerminate}: whether the others go on without this member; {@code isIdle}: whether no call waits for its
     * answer; {@code exit}: ends the process.
     */
    MemberShutdown(Machine machine, BooleanSupplier mayTerminate, BooleanSupplier isIdle, Runnable exit) {
        this.machine = machine;
        this.mayTerminate = mayTerminate;
        this.isIdle = isIdle;
        this.exit = exit;
    }

    boolean isStarted() {
        return startedAtMs != NOT_YET;
    }

    /** {@code leaveTimeoutMs}: for how long the member may wait until the others go on without it. */
    void start(long nowMs, int leaveTimeoutMs) {
        startedAtMs = nowMs;
        LOG.info("shutdown-started").log();
        int maxMs = leaveTimeoutMs + Math.min(MAX_EXTRA_MS, leaveTimeoutMs / 10);
        machine.loop().schedule(exit, maxMs, TimeUnit.MILLISECONDS);
    }

    /** To be called every 50 ms. */
    void tick(long nowMs) {
        if (!isStarted()) {
            return;
        }
        if (removedAtMs == NOT_YET && mayTerminate.getAsBoolean()) {
            removedAtMs = nowMs;
        }
        boolean busy = removedAtMs == NOT_YET || !isIdle.getAsBoolean();
        if (!busy && nowMs - removedAtMs >= FLUSH_MS && nowMs - startedAtMs >= MIN_SHUTDOWN_MS) {
            LOG.info("shutdown-completed").with("ms", nowMs - startedAtMs).log();
            exit.run();
        }
    }
}
