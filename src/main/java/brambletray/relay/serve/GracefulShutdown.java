package brambletray.relay.serve;

import brambletray.common.runtime.Machine;
import brambletray.relay.console.CommandResponse;
import brambletray.relay.operations.Drain;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries the drain's phases out on the fronts. One thread, that of the loop. */
final class GracefulShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);

    /** What a drain does to the ways in. */
    interface Fronts {
        /** Clients are sent away from now on, or are welcome again. */
        void drained(boolean away);

        /** Those that stayed without asking anything are cut. */
        void closeIdle();
    }

    private final Machine machine;
    private final Drain drain;
    private final Fronts fronts;

    GracefulShutdown(Machine machine, Drain drain, Fronts fronts) {
        this.machine = machine;
        this.drain = drain;
        this.fronts = fronts;
    }

    CommandResponse standby() {
        boolean begins = drain.welcome();
        if (!drain.standby(machine.clock().nanos())) {
            return new CommandResponse(503, "the process ends");
        }
        if (begins) {
            LOG.info("clients are sent away");
            fronts.drained(true);
            machine.loop().schedule(this::look, Drain.AWAY_AFTER, TimeUnit.NANOSECONDS);
        }
        return CommandResponse.yes("clients are sent away");
    }

    private void look() {
        if (drain.look(machine.clock().nanos())) {
            fronts.closeIdle();
        }
    }

    CommandResponse active() {
        boolean ends = drain.drained();
        if (!drain.active()) {
            return new CommandResponse(503, "the process ends");
        }
        if (ends) {
            LOG.info("clients are welcome again");
            fronts.drained(false);
        }
        return CommandResponse.yes("clients are welcome");
    }

    String told() {
        return drain.drained() ? "ready, clients are sent away" : "ready";
    }
}
