package brambletray.platform.quota;

import brambletray.platform.configuration.Tenant;

/** The quota of one limited tenant at the coordinator. */
final class TenantQuota {
    private final QuotaParameters parameters;
    private final TokenBucket bucket;
    private final RunAheadShares shares;
    private final RecentGrants recentGrants = new RecentGrants();
    private Tenant tenant;
    private long granted;
    private long refused;
    private long debited;
    private long returned;

    /** Starts with an empty bucket and no run-ahead, as the grants of a previous coordinator are not known. */
    TenantQuota(Tenant tenant, QuotaParameters parameters, long nowMs) {
        this.tenant = tenant;
        this.parameters = parameters;
        bucket = new TokenBucket(tenant.ratePerS(), capacity(), nowMs);
        shares = new RunAheadShares(nowMs + parameters.runAheadHoldMs());
    }

    private double capacity() {
        return parameters.capacity(tenant.ratePerS(), tenant.burstSize());
    }

    void updateLimits(Tenant changed, long nowMs) {
        tenant = changed;
        bucket.updateLimits(tenant.ratePerS(), capacity(), nowMs);
    }

    QuotaResponse onRequest(EdgeIncarnation edge, long id, long nowMs) {
        if (!bucket.tryTake(nowMs)) {
            refused++;
            return new QuotaRefusal(id, (int) Math.min(Integer.MAX_VALUE, bucket.untilNextMs(nowMs)));
        }
        granted++;
        recentGrants.onGranted(nowMs);
        return new QuotaGrant(
                id, shares.renew(edge, availableRunAhead(nowMs), nowMs + parameters.runAheadHoldMs(), nowMs));
    }

    /** The run-ahead that the parameters allow, less the debt of the bucket. */
    private int availableRunAhead(long nowMs) {
        double debt = Math.max(0, -bucket.tokens(nowMs));
        return (int) Math.max(0, parameters.runAhead(tenant.ratePerS(), tenant.burstSize()) - Math.ceil(debt));
    }

    void onDebit(int requests, long nowMs) {
        debited += requests;
        bucket.debit(requests, nowMs);
    }

    void onReturn(int rights, long nowMs) {
        int taken = recentGrants.reclaim(rights, nowMs);
        returned += taken;
        bucket.credit(taken, creditLimit(nowMs), nowMs);
    }

    /**
     * Upper bound of the tokens after a return. It keeps tokens and outstanding rights together near the capacity:
     * otherwise rights that are repeatedly returned and granted again while no instance is free would accumulate, and
     * could all be spent at once.
     */
    private double creditLimit(long nowMs) {
        double spentLate = tenant.ratePerS() * QuotaParameters.RIGHT_VALIDITY_MS / 1_000;
        return bucket.capacity() + spentLate - recentGrants.outstanding(nowMs);
    }

    TenantUsage usage(long nowMs) {
        return new TenantUsage(
                tenant.name(),
                tenant.ratePerS(),
                tenant.burstSize(),
                bucket.capacity(),
                bucket.tokens(nowMs),
                shares.total(nowMs),
                granted,
                refused,
                debited,
                returned);
    }
}
