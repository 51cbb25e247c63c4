package brambletray.relay.recovery;

/** What one witness says of a relay that asks. Times are in ms. */
public sealed interface WitnessReport {
    /**
     * It has heard of it.
     *
     * @param newest the furthest that it had come
     * @param ageMs how long ago it last heard, at least
     * @param heartbeats how often it has heard in that incarnation, as the relay counts them: copies don't count twice
     */
    record Seen(StoreFreshness newest, long ageMs, long heartbeats) implements WitnessReport {}

    /**
     * It has not heard of it, and knows of nothing from before it began itself.
     *
     * @param memoryMs how long ago that was
     */
    record NotSeen(long memoryMs) implements WitnessReport {}
}
