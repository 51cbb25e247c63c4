package brambletray.relay.recovery;

/** What one witness says of a relay that asks. Times are in ms. */
public sealed interface WitnessReport {
    /**
     * It has heard of it.
     *
     * @param last the furthest that it had come
     * @param age how long ago it last heard, at least
     * @param beats how often it has heard in that life; as told by the relay, so that copies don't count
     */
    record Seen(StoreFreshness last, long age, long beats) implements WitnessReport {}

    /**
     * It has not heard of it, and knows of nothing from before it began itself.
     *
     * @param memory how long ago that was
     */
    record Never(long memory) implements WitnessReport {}
}
