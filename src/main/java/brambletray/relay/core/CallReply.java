package brambletray.relay.core;

import brambletray.relay.control.Relay.Outcome;

/**
 * Result of one call for one message.
 *
 * @param isFinal true if this reply settles the message and no further attempt may be made
 * @param retryAfter the host's retry-after time, us; 0 if none
 * @param latency us
 * @param remaining share of the host's rate limit that is left; -1 if not reported
 * @param limit the host's rate limit, calls per second; -1 if not reported
 * @param reused true if the call was sent on a connection that had carried a call before
 */
public record CallReply(
        Outcome outcome,
        boolean isFinal,
        long retryAfter,
        long latency,
        double remaining,
        double limit,
        boolean reused) {
    /** A delivered message is always final, whatever the caller passes. */
    public CallReply {
        isFinal = isFinal || outcome == Outcome.OK;
    }

    public CallReply(Outcome outcome, boolean isFinal, long retryAfter, long latency, double remaining, double limit) {
        this(outcome, isFinal, retryAfter, latency, remaining, limit, false);
    }

    /** Returns this reply with the outcome of one message of a batch call. */
    public CallReply withOutcome(Outcome outcome, boolean isFinal) {
        return new CallReply(outcome, isFinal, retryAfter, latency, remaining, limit, reused);
    }

    public CallReply onReusedConnection() {
        return new CallReply(outcome, isFinal, retryAfter, latency, remaining, limit, true);
    }
}
