package brambletray.relay.emulator;

import java.util.List;

/**
 * One partner as a script describes it. Times in ns.
 *
 * @param destination its number in the list
 * @param traffic its share of the messages, as a weight
 * @param apart each endpoint is a route with a limit of its own; else all share one
 * @param listedRate calls a second as the list tells them
 * @param bundle messages that one call may bring; above 1 the partner takes calls of several
 */
public record PartnerSpec(
        String name,
        long destination,
        String kind,
        double traffic,
        boolean apart,
        int servers,
        Law service,
        int queue,
        Limit limit,
        Waits waits,
        Reports reports,
        Connections connections,
        Keys keys,
        Cold cold,
        Abandoned abandoned,
        double listedRate,
        int bundle,
        List<EndpointSpec> endpoints) {

    /** What an endpoint may speak. */
    public static final String[] PROTOCOLS = {"http", "mqtt", "mqtt-qos2", "mqtt-3.1.1", "mqtt-3.1.1-qos2"};

    /** One address of a partner; {@code protocol}: one of {@link #PROTOCOLS}. */
    public record EndpointSpec(String name, String zone, String protocol) {
        /** One that is called by HTTP. */
        public EndpointSpec(String name, String zone) {
            this(name, zone, "http");
        }
    }

    /** Which share of refusals tells how long to wait, and for how long; the wait is never too short. */
    public record Waits(double share, long least, long most) {}

    /** Load reports: how often their values are taken, and how late they are shown. */
    public record Reports(long refresh, long delay) {}

    /** How many connections an endpoint holds; what the first call on one costs besides; idle ones end. */
    public record Connections(int cap, long handshake, long idle) {}

    /** How long, and by which endpoints, a key is remembered from the first call with it that ran. */
    public record Keys(long window, boolean byZone) {}

    /**
     * Back from an outage: the share of its capacity that it starts with, when it is warm, and what makes it
     * fall over: more than {@code multiple} times what it can do just then, in a window of {@code fall}, and
     * {@code slack} calls besides.
     */
    public record Cold(double from, long warm, double multiple, long fall, double slack) {}

    /**
     * What becomes of a call whose caller has gone: it runs all the same, is dropped while queued, or
     * always.
     */
    public enum Abandoned {
        RUNS,
        DROPPED_IN_QUEUE,
        DROPPED
    }

    /** Calls a second that one endpoint can do when it is warm. */
    public double capacity() {
        return servers * 1e9 / service.mean();
    }
}
