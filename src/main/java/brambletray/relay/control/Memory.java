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
 * The complete state of one {@link Control}, handed over to another that continues from it: obtained from
 * {@link Control#memory} and passed to the constructor. Raise {@link #VERSION} with each change of its serialized form.
 */
public final class Memory implements Serializable {
    /** Version of the serialized form. */
    public static final long VERSION = 5;

    private static final long serialVersionUID = VERSION;

    final Map<String, Message> messages = new HashMap<>();
    final Map<String, OrderingKey> keys = new HashMap<>();
    final Map<Long, Destination> destinations = new TreeMap<>();
    final Map<Long, EndpointState> endpoints = new TreeMap<>();
    /** Endpoints excluded by operators, listed or not. */
    final Set<Long> excluded = new HashSet<>();

    final Set<Destination> dispatchable = new LinkedHashSet<>();
    final PriorityQueue<Timer> timers = new PriorityQueue<>();
    final TokenBucket[] tenantBuckets;
    /** us, by kind: how long idle connections are kept, as endpoints may accept few. */
    final double[] holdTimes;

    /** us, by kind: idle time up to which connections are assumed to be alive. */
    final double[] trustTimes;
    /** By kind: share of calls after a refusal that are admitted. */
    final double[] admissionShares;
    /** By kind: whether an endpoint has reported its limit; then each that reads a call is expected to. */
    final boolean[] reportsLimits;
    /** us; time of the last turn. */
    long now;

    /** us; time of the first turn. */
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

    /** us; time of the last turn, on the clock of the {@link Control} that it is from. */
    public long lastTurnTime() {
        return now;
    }

    /** The open messages, each with the number of its attempts so far. */
    public Map<String, Integer> openMessageAttemptCounts() {
        Map<String, Integer> open = new HashMap<>();
        messages.values().stream()
                .filter(message -> !message.isEnded)
                .forEach(message -> open.put(message.id, message.attempts.size()));
        return open;
    }

    /** Learned state of an endpoint, worth keeping over a restart; null for an unknown endpoint. */
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

    /** Listed endpoints that are unhealthy or excluded by an operator. */
    int unavailableEndpointCount() {
        int avoided = 0;
        for (Destination destination : destinations.values()) {
            for (EndpointState endpoint : destination.endpoints.values()) {
                avoided += endpoint.disabledByOperator || endpoint.health == Health.UNHEALTHY ? 1 : 0;
            }
        }
        return avoided;
    }

    /** The listed endpoints; the state may include others, which were removed from the list. */
    public Set<Long> listedEndpointIds() {
        Set<Long> listed = new HashSet<>();
        destinations.values().forEach(destination -> listed.addAll(destination.endpoints.keySet()));
        return listed;
    }
}
