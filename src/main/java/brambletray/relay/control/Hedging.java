package brambletray.relay.control;

import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.State.Attempt;
import brambletray.relay.control.State.Destination;
import brambletray.relay.control.State.EndpointState;
import brambletray.relay.control.State.Health;
import brambletray.relay.control.State.Message;

/** Hedged requests (speculative execution): whether and where one is sent after the {@link HedgeDelay}. */
record Hedging(Settings settings, SendGate gate, Turn turn) {
    /** Hedges per message, as in the original description of the technique. */
    private static final int MAX_HEDGES = 1;
    /** Tokens that an endpoint's limit scope must have left for a hedge. */
    private static final double MIN_TOKENS = 2;
    /** Hedge budget earned by each message sent, which bounds the share of hedges. */
    private static final double HEDGE_RATIO = 0.05;
    /** Upper bound of the hedge budget. */
    private static final double MAX_HEDGE_BUDGET = 2;

    /** A message was sent, for the first time or as a retry. */
    void onSent(Destination destination) {
        destination.hedgeBudget = Math.min(MAX_HEDGE_BUDGET, destination.hedgeBudget + HEDGE_RATIO);
    }

    /** The hedge delay has passed with no answer: sends a hedge to another endpoint if capacity allows. */
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
        EndpointState cheapest = null;
        // Unsent messages go first, and hedges are limited to a share of sends: in an overload every call exceeds
        // the delay, and unlimited hedges would add to the load of a full destination.
        if (message.destination.queuedMessages == 0
                && message.destination.hedgeBudget >= 1
                && !AnswerTimes.isSlow(message.destination)) {
            double lowestCost = Double.MAX_VALUE;
            for (EndpointState endpoint : message.destination.endpoints.values()) {
                double cost = gate.cost(message, endpoint);
                boolean free = gate.earliestSendAt(message, endpoint, true) <= turn.now
                        && endpoint.limitScope.bucket.tokens >= MIN_TOKENS;
                if (endpoint != attempt.endpoint && endpoint.health == Health.HEALTHY && free && cost < lowestCost) {
                    lowestCost = cost;
                    cheapest = endpoint;
                }
            }
        }
        if (cheapest != null) {
            message.hedges++;
            message.destination.hedgeBudget--;
            gate.send(message, cheapest);
        }
    }
}
