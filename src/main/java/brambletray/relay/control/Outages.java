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
 * Outages and returns: what counts as a failure, when failures are an outage, and the way back: probes, then
 * a slow start within the budget of what a cold endpoint bears.
 */
record Outages(
        Settings settings, SplittableRandom random, Turn turn, Pace pace, Backoff backoff, Connections connections) {
    /** Failures in a row that mean an outage. */
    private static final int OUTAGE_FAILURES = 3;
    /** Share of failed recent calls that means an outage. */
    private static final double OUTAGE_FAILURE_SHARE = 0.6;
    /** Weight of a new outcome in that share. */
    private static final double OUTCOME_WEIGHT = 0.2;
    /** New connections in a row that broke with no answer between, from which on the host is held to fail. */
    private static final int OUTAGE_RESETS = 4;
    /** us; a endpoint that answered within this is not yet taken for failing. */
    private static final long SILENCE_US = 700 * MS;
    /** us; a peer of a failing endpoint that answered a call sent this long before is not suspected. */
    private static final long SUSPICION_WINDOW_US = 500 * MS;
    /** us; shortest time between probes of a endpoint. */
    private static final long PROBE_INTERVAL_US = 400 * MS;
    /** us; a suspicion that is cleared within this time is followed by no slow start. */
    private static final long MAX_SUSPICION_US = 2 * SECOND;
    /** Part of the return budget used: leaves room for chance and for calls already under way. */
    private static final double BUDGET_SHARE = 0.95;
    /** Part used of an even share of a reported limit: what a destination can do is over its limit by some. */
    private static final double REPORTED_LIMIT_SHARE = 0.8;
    /** A rough weight may be this much over the truth. */
    private static final double ROUGH_WEIGHT_FACTOR = 1.5;

    void onAnswered(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.lastSuccessAt = turn.now;
        endpoint.lastSuccessSentAt = Math.max(endpoint.lastSuccessSentAt, attempt.sentAt);
        endpoint.failureShare *= 1 - OUTCOME_WEIGHT;
        // A quiet endpoint sees one failure of an outage: a suspicion not cleared at once ends in a slow start too.
        endpoint.outageConfirmed |=
                endpoint.health == Health.UNHEALTHY && attempt.sentAt - endpoint.unhealthySince > MAX_SUSPICION_US;
        if (endpoint.health != Health.UNHEALTHY || attempt.sentAt >= endpoint.unhealthySince) {
            endpoint.consecutiveFailures = 0;
        }
        if (endpoint.health == Health.UNHEALTHY && attempt.sentAt >= endpoint.unhealthySince) {
            endpoint.health = endpoint.outageConfirmed ? Health.SLOW_START : Health.HEALTHY;
            endpoint.slowStartAt = turn.now;
            if (endpoint.outageConfirmed) {
                turn.log(endpoint, "answers again, held to the return budget");
            }
        }
    }

    /**
     * Guards endpoints, and the windows of their destinations, against calls that are lost and messages that
     * take long wherever they go: where the host has answered a call sent later, or the message timed out
     * before, a time-out says nothing of the host. It covers calls stuck behind others too. It hurts where a
     * host drops some calls and answers the rest: those cost their time-out and no outage is seen.
     */
    void onTimeout(Attempt attempt, boolean firstOfCall) {
        boolean notTheHost = attempt.message.timeouts++ > 0 || attempt.sentAt < attempt.endpoint.lastSuccessSentAt;
        if (firstOfCall) {
            connections.adjustTrustTime(attempt);
        }
        if (firstOfCall && !notTheHost) {
            ConcurrencyWindow.halve(attempt.endpoint.destination);
            onFailure(attempt);
        }
    }

    /**
     * Guards endpoints against being taken for failing, and then held to the return budget as long as a cold
     * one, because connections break. A kept one that is reset (dropped by what lies between, closed as the
     * call went out, lost with a process that is up again) says nothing of the host; new ones do once some in
     * a row broke. A host that is down refuses new connections, which counts at once. It hurts where a host
     * dies of each call that it reads: that costs a few calls more.
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
     * A host that is down refuses connects at once, at no cost: it is tried again soon, within the return
     * budget. Guards against learning of a return only after back-offs that grew while it was down.
     */
    void onConnectFailed(Attempt attempt, long latency) {
        EndpointState endpoint = attempt.endpoint;
        connections.shortenHoldTime(endpoint);
        onFailure(attempt);
        long pause = backoff.backoffDelay(endpoint.destination, endpoint.consecutiveFailures, 0);
        if (endpoint.health == Health.UNHEALTHY && latency < PROBE_INTERVAL_US) {
            pause = Math.min(pause, (long) (PROBE_INTERVAL_US * (0.5 + random.nextDouble())));
        }
        endpoint.backoffUntil = turn.now + pause;
    }

    /** A failed call counts only while no call sent after it has been answered, or once failures prevail. */
    void onFailure(Attempt attempt) {
        EndpointState endpoint = attempt.endpoint;
        endpoint.failureShare += OUTCOME_WEIGHT * (1 - endpoint.failureShare);
        boolean prevails = endpoint.failureShare >= OUTAGE_FAILURE_SHARE;
        if (attempt.sentAt >= endpoint.lastSuccessSentAt) {
            endpoint.consecutiveFailures++;
        }
        // A busy endpoint that fails part of its calls answers the others: no outage while answers are recent.
        boolean silent = turn.now - endpoint.lastSuccessAt >= SILENCE_US;
        boolean trial = endpoint.health == Health.UNHEALTHY && attempt.sentAt >= endpoint.unhealthySince;
        if (prevails || trial || silent && endpoint.consecutiveFailures >= OUTAGE_FAILURES) {
            markUnhealthy(endpoint, true);
        } else if (endpoint.consecutiveFailures > 0 && silent && endpoint.health != Health.SLOW_START) {
            markUnhealthy(endpoint, false);
        }
    }

    /** Probes only. One failure is a suspicion, which one answer clears; an outage ends in a slow start. */
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
            turn.log(endpoint, "fails or refuses, trials only");
            // Endpoints of a destination mostly fail together: those not heard from must answer a probe.
            for (EndpointState other : endpoint.destination.endpoints.values()) {
                boolean silent = other.lastSuccessSentAt < endpoint.unhealthySince - SUSPICION_WINDOW_US;
                if (other.limitScope == endpoint.limitScope && other.health == Health.HEALTHY && silent) {
                    markUnhealthy(other, false);
                }
            }
        }
    }

    /** When the endpoint may take another message: waits, back-off, pace; after failures, probes or slow start. */
    long earliestSendAt(EndpointState endpoint, boolean joins) {
        long when = endpoint.blockedUntil();
        if (endpoint.health == Health.SLOW_START
                && turn.now - endpoint.slowStartAt >= settings.rules().cold()) {
            endpoint.health = Health.HEALTHY;
            endpoint.failureShare = 0;
            turn.log(endpoint, "warm again");
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
        long token = pace.nextTokenAt(endpoint.limitScope);
        return joins ? when : Math.max(when, token);
    }

    /**
     * The earliest time for another call within this relay's part of what a cold endpoint bears: an even one of
     * a rate that answers reported. Of a listed rate it is the mean of an even one and of what this relay usually
     * sends: hundreds that each scale their own fit together.
     */
    private long budgetAllowsAt(EndpointState endpoint) {
        Rules rules = settings.rules();
        double warm = rules.coldFrom();
        if (endpoint.health == Health.SLOW_START) {
            double age = Math.max(0, turn.now - endpoint.slowStartAt - rules.tipAfter() / 2);
            warm += (1 - warm) * Math.min(1, age / Math.max(1, rules.cold()));
        }
        int routes = Math.max(1, endpoint.destination.endpoints.size());
        double usual = endpoint.destination.usualRate / routes;
        // A limit scope of one endpoint has a rate of its own; only one that the endpoints share is split among them.
        double even = Pace.rate(endpoint.limitScope)
                / settings.relays()
                / (endpoint.destination.sharedLimitScope == endpoint.limitScope ? routes : 1);
        double listed = even / (settings.weights() == Weights.ROUGH ? ROUGH_WEIGHT_FACTOR : 1);
        // Guards hosts of which no rate is known against a share of any size: what is usual there must do.
        double part = endpoint.limitScope.limitReported
                ? REPORTED_LIMIT_SHARE * even
                : endpoint.limitScope.hasRate ? (listed + usual) / 2 : usual;
        double rate = Math.max(Backoff.MIN_RATE_PER_S, BUDGET_SHARE * rules.fallMultiple() * warm * part);
        return Math.max(endpoint.limitScope.waitUntil, endpoint.lastSentAt) + (long) (endpoint.spacing * SECOND / rate);
    }

    /** A call goes out: in an outage it is a probe. */
    void onSent(EndpointState endpoint, Attempt attempt) {
        endpoint.lastSentAt = turn.now;
        endpoint.spacing = 0.5 + random.nextDouble();
        if (endpoint.health == Health.UNHEALTHY) {
            endpoint.probesInFlight++;
            attempt.isProbe = true;
        }
    }
}
