package brambletray.platform.quota;

import brambletray.platform.settings.DeploymentBounds;

/**
 * What the deployment allows a tenant beyond its limit in one window, and how it is divided. In any window, arrivals
 * may come to {@code (rate * window + burst) * (1 + overage) + slack}; {@code docs/quota.md} proves that the division
 * stays below.
 *
 * @param windowMs the window in which requests are counted
 * @param overage what may be exceeded, as a share of the limit
 * @param slack what may be exceeded besides, requests
 */
public record QuotaParameters(long windowMs, double overage, double slack) {
    /** For how long after it was asked for a right may be spent, ms. */
    public static final int RIGHT_VALIDITY_MS = 150;
    /** For how long after it was asked for an unspent right may be returned, ms. */
    public static final int RETURN_VALIDITY_MS = 250;
    /** For how long after it was asked for an edge returns an unspent right; later it is lost. */
    public static final int MAX_RETURN_AGE_MS = 220;
    /** For how long after a grant was asked for the run-ahead in it may be spent, ms. */
    public static final int RUN_AHEAD_VALIDITY_MS = 3_000;

    /** Share of the excess by which a bucket is deeper than the tenant's burst. */
    private static final double CAPACITY_SHARE = 0.4;
    /** Share of the excess that edges may send without rights. */
    private static final double RUN_AHEAD_SHARE = 0.4;
    /** What a bucket must hold at least for a grant. */
    private static final double MIN_CAPACITY = 1;

    /** The terms of this deployment. */
    public static QuotaParameters from(DeploymentBounds bounds) {
        return new QuotaParameters((long) (bounds.quotaWindowS() * 1_000), bounds.quotaOverage(), bounds.quotaSlack());
    }

    /** What is left of overage and slack once rights that are spent or returned late are paid for; requests. */
    private double overageBudget(double ratePerS, double burst) {
        double allowed = overage * (ratePerS * windowMs / 1_000 + burst) + slack;
        double late = ratePerS * (RIGHT_VALIDITY_MS + RETURN_VALIDITY_MS) / 1_000;
        return Math.max(0, allowed - late);
    }

    /** The depth of a tenant's bucket, requests. */
    double capacity(double ratePerS, double burst) {
        return Math.max(MIN_CAPACITY, burst + CAPACITY_SHARE * overageBudget(ratePerS, burst));
    }

    /** What all edges together may send without rights while they have no coordinator, requests. */
    int runAhead(double ratePerS, double burst) {
        return (int) (RUN_AHEAD_SHARE * overageBudget(ratePerS, burst));
    }

    /**
     * ms after a grant until nothing that was sent ahead by it can fall into the same window as what is sent from then
     * on.
     */
    long runAheadHoldMs() {
        return RUN_AHEAD_VALIDITY_MS + windowMs;
    }
}
