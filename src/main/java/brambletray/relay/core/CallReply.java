package brambletray.relay.core;

import brambletray.relay.control.Relay.Outcome;

/**
 * What came back of one call, for one message: {@code isFinal} where nothing more is owed for it. Times
 * in microseconds, {@code remaining} and {@code limit} -1 if not reported.
 * {@code reused}: the call went out on a connection that had carried one before.
 */
public record CallReply(
        Outcome outcome,
        boolean isFinal,
        long retryAfter,
        long latency,
        double remaining,
        double limit,
        boolean reused) {
    /** A message that has been delivered is over: no caller has to say so, and none can say otherwise. */
    public CallReply {
        isFinal = isFinal || outcome == Outcome.OK;
    }

    public CallReply(Outcome outcome, boolean isFinal, long retryAfter, long latency, double remaining, double limit) {
        this(outcome, isFinal, retryAfter, latency, remaining, limit, false);
    }

    /** The same answer with another outcome: that of one message among those of its call. */
    public CallReply withOutcome(Outcome other, boolean isOver) {
        return new CallReply(other, isOver, retryAfter, latency, remaining, limit, reused);
    }

    public CallReply onReusedConnection() {
        return new CallReply(outcome, isFinal, retryAfter, latency, remaining, limit, true);
    }
}
