package brambletray.platform.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * At an edge: how many requests of each tenant may be sent without a right once the coordinator is lost, and what was
 * sent so and is not reported yet. Pure: time comes in as steady ms.
 *
 * <p>Within one window no more is sent than the largest allowance, even where a new one comes in between: a report may
 * be lost with the link that it was sent on.
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

    /** {@code windowMs}: in which the requests of a tenant are counted. */
    public RunAheadAllowances(long windowMs) {
        this.windowMs = windowMs;
    }

    /** A grant allows so many, in place of what was allowed before; {@code askedAtMs}: when it was asked for. */
    public void onGrant(String tenant, int runAhead, long askedAtMs) {
        Allowance allowance = allowances.computeIfAbsent(tenant, none -> new Allowance());
        allowance.limit = runAhead;
        allowance.validUntilMs = askedAtMs + QuotaParameters.RUN_AHEAD_VALIDITY_MS;
    }

    /** Whether one request may be sent now; if so it counts as sent, and is to be reported. */
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

    /** Requests that were sent without rights, or whose report could not be sent. */
    public void addUnreported(String tenant, int requests) {
        unreported.merge(tenant, requests, Integer::sum);
    }

    /** Whether {@link #takeUnreported} has something to take. */
    public boolean hasUnreported() {
        return !unreported.isEmpty();
    }

    /** Requests that were sent without rights, by tenant; none are left. */
    public Map<String, Integer> takeUnreported() {
        Map<String, Integer> taken = Map.copyOf(unreported);
        unreported.clear();
        return taken;
    }

    /** Forgets allowances that can neither be spent nor limit another any more. */
    public void removeExpired(long nowMs) {
        allowances
                .values()
                .removeIf(allowance -> nowMs >= allowance.validUntilMs && nowMs - allowance.lastSpentAtMs > windowMs);
    }
}
