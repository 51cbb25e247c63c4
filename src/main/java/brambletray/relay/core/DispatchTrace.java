package brambletray.relay.core;

import brambletray.relay.control.Relay;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs the control module's events and actions, one short line each, in the format that {@code bench/fleet-trace}
 * parses. Off unless the logger {@code brambletray.trace} is at debug level; it then logs a line for each event and
 * send.
 */
final class DispatchTrace {
    private static final Logger LOG = LoggerFactory.getLogger("brambletray.trace");
    static final boolean ON = LOG.isDebugEnabled();

    private DispatchTrace() {}

    /** Logs the settings of the relay fleet, once at the start. */
    static void settings(long unixMs, Relay.Settings settings) {
        LOG.debug(
                "{} settings rank {} of {} {} {} weights {}",
                unixMs,
                settings.rank(),
                settings.relays(),
                settings.allowed(),
                settings.rules(),
                settings.weights());
    }

    /** Logs that the platform has acknowledged the notice of a message's end. */
    static void onNoticeAcknowledged(long unixMs, String id) {
        LOG.debug("{} noticed {}", unixMs, id);
    }

    /** Logs the events and actions of one turn; {@code controlTimeUs}: the control module's time. */
    static void turn(long unixMs, long controlTimeUs, List<Relay.Event> events, List<Relay.Action> actions) {
        for (Relay.Event event : events) {
            if (event instanceof Relay.Accepted accepted) {
                LOG.debug(
                        "{} in {} dest {} class {} earlier {} left {}",
                        unixMs,
                        accepted.id(),
                        accepted.destination(),
                        accepted.messageClass(),
                        accepted.priorAttempts().size(),
                        (accepted.deadline() - controlTimeUs) / 1_000);
            } else if (event instanceof Relay.AttemptEnded ended) {
                LOG.debug(
                        "{} end {} host {} {} wait {} took {} left {} limit {} reused {}",
                        unixMs,
                        ended.id(),
                        ended.endpoint(),
                        ended.outcome(),
                        ended.retryAfter(),
                        ended.latency(),
                        ended.remaining(),
                        ended.limit(),
                        ended.reused());
            } else if (event instanceof Relay.EndpointsListed list) {
                for (Relay.Endpoint endpoint : list.endpoints()) {
                    LOG.debug(
                            "{} list {} host {} dest {} kind {} zone {} {} weight {}",
                            unixMs,
                            list.kind(),
                            endpoint.id(),
                            endpoint.destination(),
                            endpoint.kind(),
                            endpoint.zone(),
                            endpoint.listing(),
                            endpoint.weight());
                }
            }
        }
        for (Relay.Action action : actions) {
            if (action instanceof Relay.Send send) {
                LOG.debug("{} send {} host {} patience {}", unixMs, send.id(), send.endpoint(), send.timeout());
            } else if (action instanceof Relay.Refuse refuse) {
                LOG.debug("{} refuse {} after {}", unixMs, refuse.id(), refuse.retryAfter());
            } else if (action instanceof Relay.Fail fail) {
                LOG.debug("{} fail {}", unixMs, fail.id());
            } else if (action instanceof Relay.CloseIdleConnections close) {
                LOG.debug("{} close host {}", unixMs, close.endpoint());
            }
        }
    }
}
