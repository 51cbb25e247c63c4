package brambletray.platform.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Run-ahead at an edge: how many requests of each tenant it may send without a right once the coordinator is lost,
 * and the requests sent this way that are not yet reported. Pure: callers pass the time, as ms of a monotonic clock.
 *
 * <p>A new allowance does not reset what was spent within the window, so no window exceeds the largest allowance: the
 * report of the requests already sent may be lost with its link.
 */
public final class RunAheadAllowances {
    private static final class Allowance {
        private int limit;
        private long validUntilMs;
        private int spent;
        private long lastSpentAtMs;
    }

    private final long windowMs;
    private final Map<String, Allowance> allowances = new HashMap<>();
    private final Map<String, Integer> unreported = new HashMap<>();

    /** {@code windowMs}: the window in which the requests of a tenant are counted. */
    public RunAheadAllowances(long windowMs) {
        this.windowMs = windowMs;
    }

    /** Replaces the allowance by that of a grant; {@code requestedAtMs}: when the grant was requested. */
    public void onGrant(String tenant, int runAhead, long requestedAtMs) {
        Allowance allowance = allowances.computeIfAbsent(tenant, none -> new Allowance());
        allowance.limit = runAhead;
        allowance.validUntilMs = requestedAtMs + QuotaParameters.RUN_AHEAD_VALIDITY_MS;
    }

    /** Whether one request may be sent now; if so, it is counted as sent and as unreported. */
    public boolean trySpend(String tenant, long nowMs) {
        if (!canSpend(tenant, nowMs)) {
            return false;
        }
        Allowance allowance = allowances.get(tenant);
        allowance.spent++;
        allowance.lastSpentAtMs = nowMs;
        addUnreported(tenant, 1);
        return true;
    }

    /** Whether a request of this tenant may be sent without a right now. */
    private boolean canSpend(String tenant, long nowMs) {
        Allowance allowance = allowances.get(tenant);
        if (allowance == null || nowMs >= allowance.validUntilMs) {
            return false;
        }
        if (nowMs - allowance.lastSpentAtMs > windowMs) {
            allowance.spent = 0;
        }
        return allowance.spent < allowance.limit;
    }

    /** Adds requests that were sent without rights, or whose report could not be sent. */
    public void addUnreported(String tenant, int requests) {
        unreported.merge(tenant, requests, Integer::sum);
    }

    /** Whether {@link #takeUnreported} would return any requests. */
    public boolean hasUnreported() {
        return !unreported.isEmpty();
    }

    /** Returns and clears the unreported requests that were sent without rights, by tenant. */
    public Map<String, Integer> takeUnreported() {
        Map<String, Integer> taken = Map.copyOf(unreported);
        unreported.clear();
        return taken;
    }

    /** Removes allowances that can no longer be spent and whose spending has left the window. */
    public void removeExpired(long nowMs) {
        allowances
                .values()
                .removeIf(allowance -> nowMs >= allowance.validUntilMs && nowMs - allowance.lastSpentAtMs > windowMs);
    }
}
