package brambletray.relay.control;

import static brambletray.relay.control.Turn.MS;
import static brambletray.relay.control.Turn.NEVER;
import static brambletray.relay.control.Turn.SECOND;

import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Rules;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import java.util.SplittableRandom;

/**
 * Outage detection and recovery: what counts as a failure, when failures mean an outage, and the recovery by probes and
 * a slow start within the recovery budget, the rate that a cold endpoint can take.
 */
record Outages(
        Settings settings, SplittableRandom random, Turn turn, Pace pace, Backoff backoff, Connections connections) {
    /** Consecutive failures that mean an outage. */
    private static final int OUTAGE_FAILURES = 3;
    /** Share of failed recent calls that means an outage. */
    private static final double OUTAGE_FAILURE_SHARE = 0.6;
    /** Weight of a new outcome in the moving average of that share. */
    private static final double OUTCOME_WEIGHT = 0.2;
    /** Consecutive resets of new connections, with no answer between, from which on each counts as a failure. */
    private static final int OUTAGE_RESETS = 4;
    /** us; an endpoint that answered within this time is not marked unhealthy by consecutive failures. */
    private static final long SILENCE_US = 700 * MS;
    /** us; a peer of a failing endpoint is not suspected if it answered a call sent at most this long before. */
    private static final long SUSPICION_WINDOW_US = 500 * MS;
    /** us; time from the start of an outage to its first probe, and mean cap of the delay after a refused connect. */
    private static final long PROBE_INTERVAL_US = 400 * MS;
    /** us; a suspicion cleared within this time needs no slow start. */
    private static final long MAX_SUSPICION_US = 2 * SECOND;
    /** Share of the recovery budget that is used: leaves room for random variation and calls in flight. */
    private static final double BUDGET_SHARE = 0.95;
    /** Part used of the fair share of a reported limit: a destination's capacity may be below its limit. */
    private static final double REPORTED_LIMIT_SHARE = 0.8;
    /** A rough weight may exceed the true rate by this factor. */
    private static final double ROUGH_WEIGHT_FACTOR = 1.5;

    void onAnswered(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.lastSuccessAt = turn.now;
        endpoint.lastSuccessSentAt = Math.max(endpoint.lastSuccessSentAt, attempt.sentAt);
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        // A rarely used endpoint sees one failure per outage: a suspicion cleared late leads to a slow start too.
        endpoint.outageConfirmed |=
                endpoint.health == Health.UNHEALTHY && attempt.sentAt - endpoint.unhealthySince > MAX_SUSPICION_US;
        if (endpoint.health != Health.UNHEALTHY || attempt.sentAt >= endpoint.unhealthySince) {
            endpoint.consecutiveFailures = 0;
        }
        if (endpoint.health == Health.UNHEALTHY && attempt.sentAt >= endpoint.unhealthySince) {
            endpoint.health = endpoint.outageConfirmed ? Health.SLOW_START : Health.HEALTHY;
            endpoint.slowStartAt = turn.now;
            if (endpoint.outageConfirmed) {
                turn.log(endpoint, "recovered, rate limited by slow start");
            }
        }
    }

    /**
     * A time-out is no evidence against the host if a call sent later was answered (the call was lost or stuck behind
     * others) or if the message timed out before (it takes long anywhere). Drawback: where a host drops some calls and
     * answers the rest, each dropped call costs its time-out and no outage is detected.
     */
    void onTimeout(Attempt attempt, boolean firstOfCall) {
        boolean unrelatedToHost = attempt.message.timeouts++ > 0 || attempt.sentAt < attempt.endpoint.lastSuccessSentAt;
        if (firstOfCall) {
            connections.adjustTrustTime(attempt);
        }
        if (firstOfCall && !unrelatedToHost) {
            ConcurrencyWindow.halve(attempt.endpoint.destination);
            onFailure(attempt);
        }
    }

    /**
     * The reset of a reused connection (dropped by a middlebox, closed as the call went out, lost with a process that
     * has restarted) is no evidence against the host and must not lead to a slow start; several consecutive resets of
     * new connections are. A host that is down refuses connects, which counts at once. Drawback: a host that crashes
     * on each call it reads costs a few more calls.
     */
    void onReset(Attempt attempt, AttemptEnded ended) {
        EndpointState endpoint = attempt.endpoint;
        boolean reused = ended.reused();
        if (ended.outcome() == Outcome.RESET) {
            connections.adjustTrustTime(attempt);
        }
        endpoint.consecutiveResets += !reused && attempt.sentAt >= endpoint.lastSuccessSentAt ? 1 : 0;
        if (!reused && endpoint.consecutiveResets >= OUTAGE_RESETS) {
            onFailure(attempt);
            endpoint.backoffUntil =
                    turn.now + backoff.backoffDelay(endpoint.destination, endpoint.consecutiveFailures, 0);
        }
    }

    /**
     * A host that is down refuses connects at once and at no cost, so it is probed again soon: a recovery would
     * otherwise be noticed only after back-offs that grew during the outage.
     */
    void onConnectFailed(Attempt attempt, long latency) {
        EndpointState endpoint = attempt.endpoint;
        connections.shortenHoldTime(endpoint);
        onFailure(attempt);
        long delay = backoff.backoffDelay(endpoint.destination, endpoint.consecutiveFailures, 0);
        if (endpoint.health == Health.UNHEALTHY && latency < PROBE_INTERVAL_US) {
            delay = Math.min(delay, (long) (PROBE_INTERVAL_US * (0.5 + random.nextDouble())));
        }
        endpoint.backoffUntil = turn.now + delay;
    }

    /** A failure counts unless a call sent later was answered; a high share of failures counts in any case. */
    void onFailure(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.failureShare += OUTCOME_WEIGHT * (1 - endpoint.failureShare);
        boolean mostlyFailing = endpoint.failureShare >= OUTAGE_FAILURE_SHARE;
        if (attempt.sentAt >= endpoint.lastSuccessSentAt) {
            endpoint.consecutiveFailures++;
        }
        // A busy endpoint that fails some calls answers others: no outage while answers are recent.
        boolean silent = turn.now - endpoint.lastSuccessAt >= SILENCE_US;
        boolean probeFailed = endpoint.health == Health.UNHEALTHY && attempt.sentAt >= endpoint.unhealthySince;
        if (mostlyFailing || probeFailed || silent && endpoint.consecutiveFailures >= OUTAGE_FAILURES) {
            markUnhealthy(endpoint, true);
        } else if (endpoint.consecutiveFailures > 0 && silent && endpoint.health != Health.SLOW_START) {
            markUnhealthy(endpoint, false);
        }
    }

    /** Restricts an endpoint to probes. One answer clears a suspicion; a confirmed outage ends in a slow start. */
    void markUnhealthy(EndpointState endpoint, boolean confirmed) {
        if (endpoint.health != Health.UNHEALTHY) {
            endpoint.outageConfirmed = false;
            endpoint.unhealthySince = turn.now;
            endpoint.spacing = 2 * random.nextDouble();
        }
        endpoint.health = Health.UNHEALTHY;
        if (confirmed && !endpoint.outageConfirmed) {
            endpoint.outageConfirmed = true;
            connections.restoreHoldTime(endpoint);
            turn.log(endpoint, "unhealthy, sending probes only");
            // Endpoints of a destination mostly fail together: those without a recent answer must pass a probe.
            for (EndpointState other : endpoint.destination.endpoints.values()) {
                boolean silent = other.lastSuccessSentAt < endpoint.unhealthySince - SUSPICION_WINDOW_US;
                if (other.limitScope == endpoint.limitScope && other.health == Health.HEALTHY && silent) {
                    markUnhealthy(other, false);
                }
            }
        }
    }

    /** Earliest time for another message: retry-after, back-off and pace; after failures, probes or slow start. */
    long earliestSendAt(EndpointState endpoint, boolean joins) {
        long when = endpoint.blockedUntil();
        if (endpoint.health == Health.SLOW_START
                && turn.now - endpoint.slowStartAt >= settings.rules().cold()) {
            endpoint.health = Health.HEALTHY;
            endpoint.failureShare = 0;
            turn.log(endpoint, "slow start finished");
        }
        if (endpoint.health == Health.UNHEALTHY) {
            if (endpoint.probesInFlight > 0) {
                return NEVER;
            }
            when = Math.max(when, endpoint.unhealthySince + PROBE_INTERVAL_US);
        }
        if (endpoint.health != Health.HEALTHY && endpoint.outageConfirmed && !joins) {
            when = Math.max(when, budgetAllowsAt(endpoint));
        }
        long tokenAt = pace.nextTokenAt(endpoint.limitScope);
        return joins ? when : Math.max(when, tokenAt);
    }

    /**
     * Earliest time for another call within this relay's share of the recovery budget: a fair share of a reported
     * rate; for a listed rate the mean of a fair share and this relay's usual rate, so that the sum over hundreds of
     * relays, each scaling its own rate, fits.
     */
    private long budgetAllowsAt(EndpointState endpoint) {
        Rules rules = settings.rules();
        double capacityShare = rules.coldFrom();
        if (endpoint.health == Health.SLOW_START) {
            double age = Math.max(0, turn.now - endpoint.slowStartAt - rules.tipAfter() / 2);
            capacityShare += (1 - capacityShare) * Math.min(1, age / Math.max(1, rules.cold()));
        }
        int endpointCount = Math.max(1, endpoint.destination.endpoints.size());
        double usualRate = endpoint.destination.usualRate / endpointCount;
        // Only the rate of a limit scope that the endpoints share is split among them.
        double fairShare = Pace.rate(endpoint.limitScope)
                / settings.relays()
                / (endpoint.destination.sharedLimitScope == endpoint.limitScope ? endpointCount : 1);
        double listedShare = fairShare / (settings.weights() == Weights.ROUGH ? ROUGH_WEIGHT_FACTOR : 1);
        // Without a known rate the usual rate is the only bound on the share.
        double share = endpoint.limitScope.limitReported
                ? REPORTED_LIMIT_SHARE * fairShare
                : endpoint.limitScope.hasRate ? (listedShare + usualRate) / 2 : usualRate;
        double rate = Math.max(Backoff.MIN_RATE_PER_S, BUDGET_SHARE * rules.fallMultiple() * capacityShare * share);
        return Math.max(endpoint.limitScope.waitUntil, endpoint.lastSentAt) + (long) (endpoint.spacing * SECOND / rate);
    }

    /** Records a send; to an unhealthy endpoint it is a probe. */
    void onSent(EndpointState endpoint, Attempt attempt) {
        endpoint.lastSentAt = turn.now;
        endpoint.spacing = 0.5 + random.nextDouble();
        if (endpoint.health == Health.UNHEALTHY) {
            endpoint.probesInFlight++;
            attempt.isProbe = true;
        }
    }
}
