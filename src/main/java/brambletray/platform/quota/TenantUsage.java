package brambletray.platform.quota;

/**
 * Limits, bucket and counters of a tenant, which show operators why its requests are granted or refused.
 *
 * @param ratePerS its limit, requests per second; 0: none
 * @param burst requests that it may send at once beyond the rate
 * @param capacity the capacity of its bucket, in requests
 * @param tokens tokens in its bucket, one per request; negative: its debt
 * @param runAhead requests that all edges together may send without rights
 * @param granted rights granted since the coordinator started
 * @param refused requests refused since then
 * @param debited requests sent without a right since then
 * @param returned unspent rights returned since then
 */
public record TenantUsage(
        String tenant,
        double ratePerS,
        double burst,
        double capacity,
        double tokens,
        int runAhead,
        long granted,
        long refused,
        long debited,
        long returned) {
    /** Whether a request would be granted now. */
    public enum State {
        /** At least one token is available. */
        GRANTING,
        /** The limit is reached. */
        AT_LIMIT,
        /** Requests were sent without rights; their debt must be worked off first. */
        IN_DEBT
    }

    /** Whether a request would be granted now, and if not, why. */
    public State state() {
        if (tokens >= 1) {
            return State.GRANTING;
        }
        return tokens < 0 ? State.IN_DEBT : State.AT_LIMIT;
    }
}
