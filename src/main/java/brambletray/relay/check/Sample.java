package brambletray.relay.check;

/**
 * One call of a check, as its caller saw it. Times in ns of the world; {@code ended} Long.MAX_VALUE for a
 * call that was never answered.
 */
record Sample(int index, long sent, long ended, Outcome outcome) {
    /** What came back. */
    enum Outcome {
        DELIVERED,
        REFUSED,
        FAILED,
        BROKEN,
        UNREACHABLE,
        SPOILT,
        NOTHING
    }
}
