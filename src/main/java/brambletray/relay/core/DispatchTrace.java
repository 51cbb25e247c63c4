package brambletray.relay.core;

import brambletray.relay.control.Relay;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The events and actions of the module, a short line each, for {@code bench/fleet-trace}. Off unless the
 * logger {@code brambletray.trace} logs at debug; then it costs a line for each event and send.
 */
final class DispatchTrace {
    private static final Logger LOG = LoggerFactory.getLogger("brambletray.trace");
    static final boolean ON = LOG.isDebugEnabled();

    private DispatchTrace() {}

    /** The settings that bind a fleet; once, at the start. */
    static void settings(long unix, Relay.Settings settings) {
        LOG.debug(
                "{} settings rank {} of {} {} {} weights {}",
                unix,
                settings.rank(),
                settings.relays(),
                settings.allowed(),
                settings.rules(),
                settings.weights());
    }

    /** The platform has acknowledged the notice of a message's end. */
    static void onNoticeAcknowledged(long unix, String id) {
        LOG.debug("{} noticed {}", unix, id);
    }

    /** One turn: its events and what came of them. {@code unix}: ms; {@code micros}: the module's time. */
    static void turn(long unix, long micros, List<Relay.Event> events, List<Relay.Action> actions) {
        for (Relay.Event event : events) {
            if (event instanceof Relay.Accepted accepted) {
                LOG.debug(
                        "{} in {} dest {} class {} earlier {} left {}",
                        unix,
                        accepted.id(),
                        accepted.destination(),
                        accepted.messageClass(),
                        accepted.priorAttempts().size(),
                        (accepted.deadline() - micros) / 1_000);
            } else if (event instanceof Relay.AttemptEnded ended) {
                LOG.debug(
                        "{} end {} host {} {} wait {} took {} left {} limit {} reused {}",
                        unix,
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
                            unix,
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
                LOG.debug("{} send {} host {} patience {}", unix, send.id(), send.endpoint(), send.timeout());
            } else if (action instanceof Relay.Refuse refuse) {
                LOG.debug("{} refuse {} after {}", unix, refuse.id(), refuse.retryAfter());
            } else if (action instanceof Relay.Fail fail) {
                LOG.debug("{} fail {}", unix, fail.id());
            } else if (action instanceof Relay.CloseIdleConnections close) {
                LOG.debug("{} close host {}", unix, close.endpoint());
            }
        }
    }
}
