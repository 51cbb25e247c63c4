package brambletray.platform.proxy;

import brambletray.common.runtime.Machine;
import brambletray.platform.logging.EventLog;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * Stops an edge within the grace period after SIGTERM.
 *
 * <p>New connections are accepted until clients have been sent to other edges; requests already read are served. The
 * process ends once no request is in flight and no client is connected. Shortly before the grace period ends, the
 * edge itself answers each request that still waits, so that no client that sent a complete request is left without a
 * response. To be used on the loop only.
 */
public final class GracefulShutdown {
    private static final EventLog LOG = EventLog.of("proxy");
    /** Share of the grace period during which new connections are accepted, in twelfths. */
    private static final int ACCEPTING_TWELFTHS = 5;
    /** ms before the end of the grace period at which all waiting requests are answered. */
    private static final int ANSWER_MARGIN_MS = 600;
    /** ms before the end of the grace period at which the process exits in any case. */
    private static final int EXIT_MARGIN_MS = 300;
    /** ms from the end of accepting until the first check whether the process can exit. */
    private static final int FIRST_CHECK_MS = 100;

    /** ms between these checks. */
    private static final int CHECK_INTERVAL_MS = 50;

    private final Machine machine;
    private final RequestRouter requestRouter;
    private final FrontEndServer frontEndServer;
    private final IntConsumer exit;
    private boolean started;
    private boolean ended;

    /** {@code exit}: ends the process with the given exit code. */
    public GracefulShutdown(
            Machine machine, RequestRouter requestRouter, FrontEndServer frontEndServer, IntConsumer exit) {
        this.machine = machine;
        this.requestRouter = requestRouter;
        this.frontEndServer = frontEndServer;
        this.exit = exit;
    }

    /** Starts the shutdown; later calls have no effect. {@code graceMs}: time from SIGTERM to SIGKILL. */
    public void start(long graceMs) {
        if (started) {
            return;
        }
        started = true;
        frontEndServer.drain();
        long acceptingMs = graceMs * ACCEPTING_TWELFTHS / 12;
        after(acceptingMs, frontEndServer::stopAccepting);
        after(graceMs - ANSWER_MARGIN_MS, frontEndServer::answerNow);
        after(graceMs - EXIT_MARGIN_MS, this::exitNow);
        machine.loop()
                .scheduleWithFixedDelay(
                        this::endIfDone, acceptingMs + FIRST_CHECK_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void after(long ms, Runnable then) {
        machine.loop().schedule(then, Math.max(0, ms), TimeUnit.MILLISECONDS);
    }

    private void endIfDone() {
        if (requestRouter.activeRequests() == 0 && frontEndServer.connectionCount() == 0) {
            exitNow();
        }
    }

    private void exitNow() {
        if (ended) {
            return;
        }
        ended = true;
        LOG.info("shutdown-completed")
                .with("in-flight", requestRouter.inFlight())
                .log();
        exit.accept(0);
    }
}
