package brambletray.relay.emulator;

/** What an endpoint does about a call. */
public sealed interface Answer {
    /**
     * Its load, as told with an answer: the share of the limit that is left, and the limit in calls a
     * second.
     */
    record Load(double left, double limit) {}

    /** Delivered; {@code again}: its key was remembered, and nothing was done. */
    record Delivered(Load load, boolean again) implements Answer {}

    /** Turned away unseen; {@code told}: the wait that it tells, ns, 0 for none. */
    record Refused(Load load, Reason reason, long told) implements Answer {}

    /** An error; it has run or not. */
    record Failed(Load load) implements Answer {}

    /** The connection is reset; {@code ran}: after the call had its effect. */
    record Reset(boolean ran) implements Answer {}

    /** Bytes that are no answer; the call has run. */
    record Spoilt() implements Answer {}

    /** Why a call was turned away. */
    enum Reason {
        SHUT,
        LIMIT,
        QUEUE_FULL,
        DRAINING
    }
}
