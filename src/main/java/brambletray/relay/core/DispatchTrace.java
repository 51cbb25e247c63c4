package brambletray.relay.core;

import brambletray.relay.control.Relay;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the module was told and asked for, a short line each, for {@code bench/fleet-trace}. Off unless the
 * logger {@code brambletray.trace} logs at debug; then it costs a line for each event and send.
 */
final class DispatchTrace {
    private static final Logger LOG = LoggerFactory.getLogger("brambletray.trace");
    static final boolean ON = LOG.isDebugEnabled();

    private DispatchTrace() {}

    /** The settings that bind a fleet; once, at the start. */
    static void settings(long unix, Relay.Settings s) {
        LOG.debug(
                "{} settings rank {} of {} {} {} weights {}",
                unix,
                s.rank(),
                s.relays(),
                s.allowed(),
                s.rules(),
                s.weights());
    }

    /** The platform has acknowledged the notice of a message's end. */
    static void noticed(long unix, String id) {
        LOG.debug("{} noticed {}", unix, id);
    }

    /** One turn: its events and what came of them. {@code unix}: ms; {@code micros}: the module's time. */
    static void turn(long unix, long micros, List<Relay.Event> events, List<Relay.Action> actions) {
        for (Relay.Event event : events) {
            if (event instanceof Relay.Accepted e) {
                LOG.debug(
                        "{} in {} dest {} class {} earlier {} left {}",
                        unix,
                        e.id(),
                        e.destination(),
                        e.messageClass(),
                        e.earlier().size(),
                        (e.deadline() - micros) / 1_000);
            } else if (event instanceof Relay.Ended e) {
                LOG.debug(
                        "{} end {} host {} {} wait {} took {} left {} limit {} reused {}",
                        unix,
                        e.id(),
                        e.endpoint(),
                        e.outcome(),
                        e.retryAfter(),
                        e.latency(),
                        e.remaining(),
                        e.limit(),
                        e.reused());
            } else if (event instanceof Relay.Listed e) {
                for (Relay.Endpoint p : e.endpoints()) {
                    LOG.debug(
                            "{} list {} host {} dest {} kind {} zone {} {} weight {}",
                            unix,
                            e.kind(),
                            p.id(),
                            p.destination(),
                            p.kind(),
                            p.zone(),
                            p.listing(),
                            p.weight());
                }
            }
        }
        for (Relay.Action action : actions) {
            if (action instanceof Relay.Send a) {
                LOG.debug("{} send {} host {} patience {}", unix, a.id(), a.endpoint(), a.timeout());
            } else if (action instanceof Relay.Refuse a) {
                LOG.debug("{} refuse {} after {}", unix, a.id(), a.retryAfter());
            } else if (action instanceof Relay.Fail a) {
                LOG.debug("{} fail {}", unix, a.id());
            } else if (action instanceof Relay.Close a) {
                LOG.debug("{} close host {}", unix, a.endpoint());
            }
        }
    }
}
