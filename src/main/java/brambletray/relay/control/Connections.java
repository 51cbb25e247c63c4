package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.CloseIdleConnections;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import java.util.Arrays;
import java.util.SplittableRandom;

/** Idle connections: how long they are kept, how long they are assumed alive, and how many hosts accept. */
record Connections(Settings settings, Memory memory, SplittableRandom random, Turn turn) {
    /** An idle connection is kept where at least this many uses are expected within the hold time of its kind. */
    private static final double MIN_EXPECTED_USES = 0.5;
    /** Factor of the hold time at a failed connect. */
    private static final double HOLD_TIME_CUT = 0.5;
    /** Factor of the hold time at an answer. */
    private static final double HOLD_TIME_GROWTH = 1.02;
    /** Fleet size up to which connections are held for the full keep-alive time; in larger ones for less at first. */
    private static final double FULL_HOLD_RELAYS = 14;
    /** The first back-off in us after a host accepted no further connection. */
    private static final double INITIAL_CAPACITY_BACKOFF_US = 200 * MS;
    /** us; longest such back-off in a fleet of up to {@link #FULL_HOLD_RELAYS}; longer in proportion in larger ones. */
    private static final double MAX_CAPACITY_BACKOFF_US = 2 * SECOND;
    /** Growth factor from one such back-off to the next. */
    private static final double CAPACITY_BACKOFF_MULTIPLIER = 2;
    /** us; shortest idle time after which a connection may be assumed dropped. */
    private static final double MIN_TRUST_TIME_US = 250 * MS;
    /** Connections are trusted for this multiple of the longest idle time that one has survived. */
    private static final double PROVEN_TRUST_FACTOR = 1.25;

    /** Initial values, before anything is known. */
    void init() {
        // Hosts may accept few connections; a relay that holds one is never rejected and would never learn of it.
        Arrays.fill(
                memory.holdTimes, settings.allowed().keepAlive() * Math.min(1, FULL_HOLD_RELAYS / settings.relays()));
        Arrays.fill(memory.trustTimes, settings.allowed().keepAlive());
    }

    /** Takes an idle connection for a call; returns its idle time, or -1 for a new connection. */
    long takeIdle(EndpointState endpoint) {
        if (!endpoint.idleConnections.isEmpty()
                && endpoint.idleConnections.peekLast() < turn.now - memory.trustTimes[endpoint.kind]) {
            closeIdle(endpoint);
        }
        return endpoint.idleConnections.isEmpty() ? -1 : turn.now - endpoint.idleConnections.pollLast();
    }

    /** Closes rarely used idle connections: hosts with few connections count idle ones of the whole fleet too. */
    void releaseIfUnused(EndpointState endpoint) {
        double holdTime = Math.min(memory.holdTimes[endpoint.kind], memory.trustTimes[endpoint.kind]);
        double expectedUses =
                endpoint.destination.usualRate / Math.max(1, endpoint.destination.endpoints.size()) * holdTime / SECOND;
        if (expectedUses < MIN_EXPECTED_USES && endpoint.inflight == 0 && !endpoint.idleConnections.isEmpty()) {
            closeIdle(endpoint);
        }
    }

    private void closeIdle(EndpointState endpoint) {
        endpoint.idleConnections.clear();
        turn.addAction(new CloseIdleConnections(endpoint.id));
    }

    void onAnswered(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        double keepAlive = settings.allowed().keepAlive();
        memory.holdTimes[endpoint.kind] = Math.min(keepAlive, memory.holdTimes[endpoint.kind] * HOLD_TIME_GROWTH);
        double trust =
                Math.max(memory.trustTimes[endpoint.kind] * HOLD_TIME_GROWTH, attempt.idleTime * PROVEN_TRUST_FACTOR);
        memory.trustTimes[endpoint.kind] = Math.min(keepAlive, trust);
        endpoint.holdTimeBeforeCuts = 0;
        endpoint.consecutiveCapacityRefusals = 0;
        if (endpoint.inflight + 1 >= endpoint.connectionCapacity
                && turn.now >= endpoint.capacityChangedAt + MAX_CAPACITY_BACKOFF_US) {
            endpoint.connectionCapacity++;
            endpoint.capacityChangedAt = turn.now;
        }
    }

    /**
     * A failed connect may mean that the host's connection table is full, so connections of its kind are held for
     * less. A host that is down fails every connect; {@link #restoreHoldTime} then undoes the cuts, or all hosts of
     * the kind would get a new connection for each call for minutes.
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
     * True where the host rejected a new connection, not the call on it: its connection table is full. A host that
     * reads the call reports its limit in every answer, if hosts of its kind do.
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
     * A lack of connections is neither an exhausted limit nor an outage: the token is returned, and a connection is
     * free once a call there ends. Idle connections of the kind are closed, lest the fleet hold all of a host's
     * connections idle. Calls in flight there become the connection capacity. Drawback: a closed host that refuses
     * without a retry-after time is mistaken for a full one.
     */
    void onOutOfCapacity(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.idleConnections.pollLast();
        endpoint.limitScope.bucket.tokens++;
        endpoint.connectionCapacity = Math.max(1, endpoint.inflight);
        boolean noOtherCall = endpoint.inflight == 0 && attempt.sentAt >= endpoint.capacityChangedAt;
        endpoint.capacityChangedAt = turn.now;
        if (!noOtherCall) {
            return;
        }
        memory.holdTimes[endpoint.kind] *= HOLD_TIME_CUT;
        memory.endpoints.values().stream()
                .filter(other -> other.kind == endpoint.kind)
                .forEach(this::releaseIfUnused);
        double maxBackoff = Math.min(
                Backoff.MAX_BACKOFF_US, MAX_CAPACITY_BACKOFF_US * Math.max(1, settings.relays() / FULL_HOLD_RELAYS));
        double delay = Math.min(
                maxBackoff,
                INITIAL_CAPACITY_BACKOFF_US
                        * Math.pow(CAPACITY_BACKOFF_MULTIPLIER, endpoint.consecutiveCapacityRefusals++));
        endpoint.backoffUntil =
                Math.max(endpoint.backoffUntil, turn.now + (long) (delay * (0.5 + random.nextDouble())));
    }

    /** Shortens trust where the connection may have been dropped while idle; a failure on a new one extends it. */
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
