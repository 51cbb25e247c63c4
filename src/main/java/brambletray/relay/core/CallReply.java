package brambletray.relay.core;

import brambletray.relay.control.Relay.Outcome;

/**
 * What came back of one call, for one message: {@code over} where nothing more is owed for it. Times
 * in microseconds, {@code left} and {@code limit} -1 if untold.
 * {@code reused}: the call went out on a connection that had carried one before.
 */
public record CallReply(
        Outcome outcome, boolean over, long waitFor, long latency, double left, double limit, boolean reused) {
    /** A message that has been delivered is over: no caller has to say so, and none can say otherwise. */
    public CallReply {
        over = over || outcome == Outcome.OK;
    }

    public CallReply(Outcome outcome, boolean over, long waitFor, long latency, double left, double limit) {
        this(outcome, over, waitFor, latency, left, limit, false);
    }

    /** The same answer with another outcome: that of one message among those of its call. */
    public CallReply as(Outcome other, boolean isOver) {
        return new CallReply(other, isOver, waitFor, latency, left, limit, reused);
    }

    public CallReply onKeptConnection() {
        return new CallReply(outcome, over, waitFor, latency, left, limit, true);
    }
}
