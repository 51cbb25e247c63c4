package brambletray.platform.quota;

/**
 * Why a tenant is refused or not, for operators.
 *
 * @param ratePerS its limit, requests a second; 0: none
 * @param burst its limit at one time beyond the rate
 * @param capacity the depth of its bucket
 * @param tokens requests that would be granted at once; below 0: the debt
 * @param runAhead what edges may send without rights
 * @param granted rights since the coordinator began
 * @param refused requests since then
 * @param debited requests that were sent without a right since then
 * @param returned rights that were not used since then
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
        /** There is a token. */
        GRANTING,
        /** The limit is reached. */
        AT_LIMIT,
        /** Requests that were sent without rights are paid off first. */
        IN_DEBT
    }

    /** Why a request would be refused now. */
    public State state() {
        if (tokens >= 1) {
            return State.GRANTING;
        }
        return tokens < 0 ? State.IN_DEBT : State.AT_LIMIT;
    }
}
