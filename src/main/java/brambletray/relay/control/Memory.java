package brambletray.relay.control;

import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Message;
import brambletray.relay.control.State.OrderingKey;
import brambletray.relay.control.State.Timer;
import brambletray.relay.control.State.TokenBucket;
import java.io.Serializable;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;

/**
 * All that one module remembers, so that another can go on in its place: made by {@link Control#memory},
 * taken up by a new {@link Control}. Its form changes with the module's own; {@link #VERSION} goes
 * up with it.
 */
public final class Memory implements Serializable {
    /** Of the form in which it is handed on. */
    public static final long VERSION = 5;

    private static final long serialVersionUID = VERSION;

    final Map<String, Message> messages = new HashMap<>();
    final Map<String, OrderingKey> keys = new HashMap<>();
    final Map<Long, Destination> destinations = new TreeMap<>();
    final Map<Long, EndpointState> endpoints = new TreeMap<>();
    /** Endpoints that operators have taken out, listed or not. */
    final Set<Long> excluded = new HashSet<>();

    final Set<Destination> dispatchable = new LinkedHashSet<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>();
    final TokenBucket[] tenantBuckets;
    /** us, by kind: how long idle connections are held, as endpoints may accept few. */
    final double[] holdTimes;

    /** us, by kind: how long idle connections are trusted to be alive. */
    final double[] trustTimes;
    /** By kind: the share of calls after a refusal that are admitted. */
    final double[] admissionShares;
    /** By kind: whether some endpoint has reported its limit in an answer, so that all that read a call do. */
    final boolean[] reportsLimits;
    /** us of the module's clock at its last turn. */
    long now;

    /** us of the module's clock at its first turn. */
    long startedAt;

    long nextSequence;
    long turnCount;

    int slotsUsed;
    int openMessages;
    int loggedLines;
    double lostShare;

    Memory(int tenants, int kinds) {
        tenantBuckets = new TokenBucket[tenants];
        Arrays.setAll(tenantBuckets, i -> new TokenBucket());
        holdTimes = new double[kinds];
        trustTimes = new double[kinds];
        admissionShares = new double[kinds];
        Arrays.fill(admissionShares, 1);
        reportsLimits = new boolean[kinds];
    }

    /** us of the clock of the module whose it was, at its last turn. */
    public long lastTurnTime() {
        return now;
    }

    /** The messages that are not over, each with the number of its attempts so far. */
    public Map<String, Integer> openMessageAttemptCounts() {
        Map<String, Integer> open = new HashMap<>();
        messages.values().stream()
                .filter(message -> !message.isEnded)
                .forEach(message -> open.put(message.id, message.attempts.size()));
        return open;
    }

    /** What another module would have to learn again of an endpoint; null where it is not held. */
    Relay.EndpointKnowledge endpointKnowledge(long id) {
        EndpointState endpoint = endpoints.get(id);
        return endpoint == null
                ? null
                : new Relay.EndpointKnowledge(
                        Math.max(0, endpoint.limitScope.waitUntil - now),
                        endpoint.health == Health.UNHEALTHY && endpoint.outageConfirmed,
                        endpoint.health == Health.SLOW_START ? now - endpoint.slowStartAt : -1,
                        endpoint.limitScope.limitReported ? endpoint.limitScope.rate : 0,
                        endpoint.limitScope.pace);
    }

    /** Listed endpoints that are taken out by an operator, or unhealthy. */
    int unavailableEndpointCount() {
        int avoided = 0;
        for (Destination destination : destinations.values()) {
            for (EndpointState endpoint : destination.endpoints.values()) {
                avoided += endpoint.disabledByOperator || endpoint.health == Health.UNHEALTHY ? 1 : 0;
            }
        }
        return avoided;
    }

    /** The endpoints that are on the list; of others it may know more than the list of hosts does. */
    public Set<Long> listedEndpointIds() {
        Set<Long> listed = new HashSet<>();
        destinations.values().forEach(destination -> listed.addAll(destination.endpoints.keySet()));
        return listed;
    }
}
