package brambletray.relay.recovery;

/**
 * What a relay knows of one host that its next incarnation would have to learn at the host's cost. Spans in us.
 *
 * @param retryAfterUs what is left of its retry-after time; 0: none
 * @param isUnhealthy it gets probes only
 * @param slowStartAgeUs how long ago it recovered; {@link #NOT_IN_SLOW_START} where it is not held to a return budget
 * @param limit calls a second that its answers reported, for all relays; 0: none
 * @param pace calls a second that this relay sends there at most; 0: not known
 */
public record HostKnowledge(long retryAfterUs, boolean isUnhealthy, long slowStartAgeUs, double limit, double pace) {
    public static final long NOT_IN_SLOW_START = -1;
    public static final HostKnowledge NONE = new HostKnowledge(0, false, NOT_IN_SLOW_START, 0, 0);

    /** Whether another incarnation has any use of it. */
    boolean isUseful() {
        return retryAfterUs >= HostStateCache.MIN_RETRY_AFTER_US
                || isUnhealthy
                || slowStartAgeUs != NOT_IN_SLOW_START
                || limit > 0;
    }
}
