package brambletray.relay.recovery;

/**
 * What a relay knows of one host that its next life would have to learn at the host's cost. Spans in us.
 *
 * @param waitFor left of a wait that it told; 0: none
 * @param failing it gets trials only
 * @param warming how long ago it came back, cold; {@link #WARM} where it is not held to a return budget
 * @param limit calls a second that its answers told, for all relays; 0: none
 * @param pace calls a second that this relay sends there at most; 0: not known
 */
public record HostKnowledge(long waitFor, boolean failing, long warming, double limit, double pace) {
    public static final long WARM = -1;
    public static final HostKnowledge NOTHING = new HostKnowledge(0, false, WARM, 0, 0);

    /** Whether another life has any use of it. */
    boolean ofUse() {
        return waitFor >= HostStateCache.WAIT_LEAST || failing || warming != WARM || limit > 0;
    }
}
