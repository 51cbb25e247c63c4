package brambletray.relay.control;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Message;

/** Hedged requests (speculative execution): when one goes out and where, after {@link HedgeDelay}. */
record Hedging(Settings settings, SendGate gate, Turn turn) {
    /** Extra executions of one message; the source's example uses one. */
    private static final int MAX_HEDGES = 1;
    /** Calls that a limit must have left for a hedge. */
    private static final double MIN_TOKENS = 2;
    /** Hedges earned by each call that is sent, so that hedges cannot pile up. */
    private static final double HEDGE_RATIO = 0.05;
    /** Earned hedges that are saved at most. */
    private static final double MAX_HEDGE_BUDGET = 2;

    /** A message was sent for the first time, or again after a failure. */
    void onSent(Destination destination) {
        destination.hedgeBudget = Math.min(MAX_HEDGE_BUDGET, destination.hedgeBudget + HEDGE_RATIO);
    }

    /** The delay has passed with no answer: a hedge to another endpoint, if there is capacity for one. */
    void maybeHedge(Attempt attempt) {
        Message message = attempt.message;
        if (attempt.isDone) {
            return;
        }
        if (!attempt.isOverdue) {
            attempt.isOverdue = true;
            attempt.endpoint.overdue++;
            message.destination.overdueAttempts++;
        }
        if (message.isEnded
                || message.hedges >= MAX_HEDGES
                || message.messageClass.effect() == Effect.UNSAFE
                || !settings.allowed().hedging()) {
            return;
        }
        EndpointState choice = null;
        // Unsent messages go first; and hedges are held to a share of sends, lest an overload, in which every
        // call trips the delay, pile them onto a full destination.
        if (message.destination.queuedMessages == 0
                && message.destination.hedgeBudget >= 1
                && !AnswerTimes.isSlow(message.destination)) {
            double least = Double.MAX_VALUE;
            for (EndpointState endpoint : message.destination.endpoints.values()) {
                double cost = gate.cost(message, endpoint);
                boolean free = gate.earliestSendAt(message, endpoint, true) <= turn.now
                        && endpoint.limitScope.bucket.tokens >= MIN_TOKENS;
                if (endpoint != attempt.endpoint && endpoint.health == Health.HEALTHY && free && cost < least) {
                    least = cost;
                    choice = endpoint;
                }
            }
        }
        if (choice != null) {
            message.hedges++;
            message.destination.hedgeBudget--;
            gate.send(message, choice);
        }
    }
}
