package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.CloseIdleConnections;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Idle connections: how long they are held and trusted, and how many of them hosts accept. */
record Connections(Settings settings, Memory memory, SplittableRandom random, Turn turn) {
    /** A connection stays open where this many uses are expected while connections of its kind are held. */
    private static final double MIN_EXPECTED_USES = 0.5;
    /** Factor of the span for which connections are held, at a failed connect. */
    private static final double HOLD_TIME_CUT = 0.5;
    /** Factor of that span, at an answer. */
    private static final double HOLD_TIME_GROWTH = 1.02;
    /** Relays up to which they are held as long as hosts keep them; with more, for less at first. */
    private static final double FULL_HOLD_RELAYS = 14;
    /** us; first back-off where a host accepts no further connection. */
    private static final double INITIAL_CAPACITY_BACKOFF_US = 200 * MS;
    /** us; longest such back-off. */
    private static final double MAX_CAPACITY_BACKOFF_US = 2 * SECOND;
    /** Factor from one such back-off to the next. */
    private static final double CAPACITY_BACKOFF_MULTIPLIER = 2;
    /** us; shortest idle time after which a connection may count as dropped. */
    private static final double MIN_TRUST_TIME_US = 250 * MS;
    /** A connection is trusted for this multiple of the idle time that one has survived. */
    private static final double PROVEN_TRUST_FACTOR = 1.25;

    /** Nothing is known yet. */
    void init() {
        // Guards hosts that hold few connections: a relay that has one is never rejected, and never learns of it.
        Arrays.fill(
                memory.holdTimes, settings.allowed().keepAlive() * Math.min(1, FULL_HOLD_RELAYS / settings.relays()));
        Arrays.fill(memory.trustTimes, settings.allowed().keepAlive());
    }

    /** Takes an idle connection for a call; how long it was idle, or -1 for a new one. */
    long takeIdle(EndpointState endpoint) {
        if (!endpoint.idleConnections.isEmpty()
                && endpoint.idleConnections.peekLast() < turn.now - memory.trustTimes[endpoint.kind]) {
            closeIdle(endpoint);
        }
        return endpoint.idleConnections.isEmpty() ? -1 : turn.now - endpoint.idleConnections.pollLast();
    }

    /** Guards tables of few connections, idle ones counted, against a fleet that each keeps its own. */
    void releaseIfUnused(EndpointState endpoint) {
        double held = Math.min(memory.holdTimes[endpoint.kind], memory.trustTimes[endpoint.kind]);
        double uses =
                endpoint.destination.usualRate / Math.max(1, endpoint.destination.endpoints.size()) * held / SECOND;
        if (uses < MIN_EXPECTED_USES && endpoint.inflight == 0 && !endpoint.idleConnections.isEmpty()) {
            closeIdle(endpoint);
        }
    }

    private void closeIdle(EndpointState endpoint) {
        endpoint.idleConnections.clear();
        turn.addAction(new CloseIdleConnections(endpoint.id));
    }

    void onAnswered(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        double longest = settings.allowed().keepAlive();
        memory.holdTimes[endpoint.kind] = Math.min(longest, memory.holdTimes[endpoint.kind] * HOLD_TIME_GROWTH);
        double trust =
                Math.max(memory.trustTimes[endpoint.kind] * HOLD_TIME_GROWTH, attempt.idleTime * PROVEN_TRUST_FACTOR);
        memory.trustTimes[endpoint.kind] = Math.min(longest, trust);
        endpoint.holdTimeBeforeCuts = 0;
        endpoint.consecutiveCapacityRefusals = 0;
        if (endpoint.inflight + 1 >= endpoint.connectionCapacity
                && turn.now >= endpoint.capacityChangedAt + MAX_CAPACITY_BACKOFF_US) {
            endpoint.connectionCapacity++;
            endpoint.capacityChangedAt = turn.now;
        }
    }

    /**
     * A connect that failed may tell of a full table: connections of its kind are held for less. A host that
     * is down refuses every connect: an outage takes its cuts back. Guards all hosts of the kind against a
     * connection for each call for minutes after it.
     */
    void shortenHoldTime(EndpointState endpoint) {
        if (!(endpoint.health == Health.UNHEALTHY && endpoint.outageConfirmed)) {
            endpoint.holdTimeBeforeCuts = Math.max(endpoint.holdTimeBeforeCuts, memory.holdTimes[endpoint.kind]);
            memory.holdTimes[endpoint.kind] *= HOLD_TIME_CUT;
        }
    }

    void restoreHoldTime(EndpointState endpoint) {
        memory.holdTimes[endpoint.kind] = Math.max(memory.holdTimes[endpoint.kind], endpoint.holdTimeBeforeCuts);
    }

    /**
     * True where the host rejected a new connection, not its call: it holds all those that it takes. What
     * reads a call and has a limit tells of it in every answer.
     */
    boolean isOutOfCapacity(Attempt attempt, AttemptEnded ended) {
        return attempt.idleTime < 0
                && !ended.reused()
                && ended.retryAfter() == 0
                && ended.remaining() < 0
                && ended.limit() < 0
                && memory.reportsLimits[attempt.endpoint.kind];
    }

    /**
     * Guards all relays together against holding all connections of their hosts idle, and against
     * taking a lack of connections for the limit or for an outage: the limit is not used up, and one is free
     * again once a call there has ended. Where this relay has calls in flight there, that many is its capacity.
     * It hurts where a host is closed and refuses without a retry-after time.
     */
    void onOutOfCapacity(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.idleConnections.pollLast();
        endpoint.limitScope.bucket.tokens++;
        endpoint.connectionCapacity = Math.max(1, endpoint.inflight);
        boolean alone = endpoint.inflight == 0 && attempt.sentAt >= endpoint.capacityChangedAt;
        endpoint.capacityChangedAt = turn.now;
        if (!alone) {
            return;
        }
        memory.holdTimes[endpoint.kind] *= HOLD_TIME_CUT;
        memory.endpoints.values().stream()
                .filter(other -> other.kind == endpoint.kind)
                .forEach(this::releaseIfUnused);
        double most = Math.min(
                Backoff.MAX_BACKOFF_US, MAX_CAPACITY_BACKOFF_US * Math.max(1, settings.relays() / FULL_HOLD_RELAYS));
        double span = Math.min(
                most,
                INITIAL_CAPACITY_BACKOFF_US
                        * Math.pow(CAPACITY_BACKOFF_MULTIPLIER, endpoint.consecutiveCapacityRefusals++));
        endpoint.backoffUntil = Math.max(endpoint.backoffUntil, turn.now + (long) (span * (0.5 + random.nextDouble())));
    }

    /** Guards against idle connections dropped unseen; failures in a row or on new ones tell otherwise. */
    void adjustTrustTime(Attempt attempt) {
        int kind = attempt.endpoint.kind;
        double trust = memory.trustTimes[kind];
        if (attempt.idleTime < 0) {
            memory.trustTimes[kind] = Math.min(settings.allowed().keepAlive(), trust * 2);
        } else if (attempt.idleTime >= MIN_TRUST_TIME_US
                && attempt.endpoint.consecutiveFailures == 0
                && !AnswerTimes.isSlow(attempt.endpoint.destination)) {
            memory.trustTimes[kind] = Math.min(trust, Math.max(MIN_TRUST_TIME_US, attempt.idleTime / 2.0));
        }
    }
}
