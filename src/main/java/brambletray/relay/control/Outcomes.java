package brambletray.relay.control;

import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;

/** Learning: what each outcome of a call tells of its destination, limit scope, endpoint and connections. */
record Outcomes(
        AnswerTimes times,
        ConcurrencyWindow window,
        Pace pace,
        Backoff backoff,
        Connections connections,
        Outages outages) {
    /** Learns from how an attempt ended. */
    void observe(Attempt attempt, AttemptEnded ended) {
        EndpointState endpoint = attempt.endpoint;
        Outcome outcome = ended.outcome();
        // Messages of one call mostly fare alike: what tells of its host is counted once.
        boolean firstOfCall = attempt.call.outcomes.add(outcome);
        boolean outOfCapacity = outcome == Outcome.FULL && connections.isOutOfCapacity(attempt, ended);
        if (attempt.followsRefusal && (outcome == Outcome.OK || outcome == Outcome.FULL && !outOfCapacity)) {
            backoff.learnAdmission(attempt, outcome == Outcome.OK);
        }
        if (outcome == Outcome.OK) {
            times.onAnswered(attempt, ended.latency());
            connections.onAnswered(attempt);
            window.grow(endpoint.destination);
            backoff.onAnswered(endpoint);
            pace.onAnswered(endpoint.limitScope);
            outages.onAnswered(attempt);
        } else if (outcome == Outcome.TIMEOUT) {
            outages.onTimeout(attempt, firstOfCall);
        } else if (outOfCapacity && firstOfCall) {
            connections.onOutOfCapacity(attempt);
        } else if (firstOfCall) {
            onFailed(attempt, ended);
        }
        backoff.onRetryAfter(endpoint.limitScope, ended.retryAfter());
        if (outcome == Outcome.OK || outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            endpoint.consecutiveResets = 0;
        }
        if (ended.limit() > 0) {
            pace.onLimitReported(endpoint, ended.limit(), ended.remaining());
        }
    }

    private void onFailed(Attempt attempt, AttemptEnded ended) {
        EndpointState endpoint = attempt.endpoint;
        switch (ended.outcome()) {
            case FULL -> {
                ConcurrencyWindow.halve(endpoint.destination);
                if (backoff.onRefused(attempt, ended.retryAfter()) || endpoint.health == Health.UNHEALTHY) {
                    outages.markUnhealthy(endpoint, true);
                }
            }
            case CONNECT_FAILED -> outages.onConnectFailed(attempt, ended.latency());
            case CONNECT_RESET, RESET -> outages.onReset(attempt, ended);
            case ERROR -> outages.onFailure(attempt);
            default -> {}
        }
    }
}
