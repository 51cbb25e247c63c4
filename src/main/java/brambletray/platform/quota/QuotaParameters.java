package brambletray.platform.quota;

import brambletray.platform.settings.DeploymentBounds;

/**
 * How far the deployment lets a tenant exceed its limit within one window, and how this overage is divided. In any
 * window, at most {@code (rate * window + burst) * (1 + overage) + slack} requests may arrive; {@code docs/quota.md}
 * proves that the division stays within this bound.
 *
 * @param windowMs the window in which requests are counted
 * @param overage allowed excess, as a share of the limit
 * @param slack allowed excess in addition to {@code overage}, in requests
 */
public record QuotaParameters(long windowMs, double overage, double slack) {
    /** How long after its request a right may be spent, ms. */
    public static final int RIGHT_VALIDITY_MS = 150;
    /** How long after its request an unspent right may be returned, ms. */
    public static final int RETURN_VALIDITY_MS = 250;
    /** How long after its request an edge returns an unspent right, ms; an older one is discarded. */
    public static final int MAX_RETURN_AGE_MS = 220;
    /** How long after the request of a grant its run-ahead may be spent, ms. */
    public static final int RUN_AHEAD_VALIDITY_MS = 3_000;

    /** Share of the overage budget that is added to the tenant's burst as bucket capacity. */
    private static final double CAPACITY_SHARE = 0.4;
    /** Share of the overage budget that edges may send without rights. */
    private static final double RUN_AHEAD_SHARE = 0.4;
    /** Minimum capacity of a bucket: a grant takes one token. */
    private static final double MIN_CAPACITY = 1;

    /** Creates the parameters from the bounds of the deployment. */
    public static QuotaParameters from(DeploymentBounds bounds) {
        return new QuotaParameters((long) (bounds.quotaWindowS() * 1_000), bounds.quotaOverage(), bounds.quotaSlack());
    }

    /** Overage and slack, less the rights that may be spent or returned late; in requests. */
    private double overageBudget(double ratePerS, double burst) {
        double allowed = overage * (ratePerS * windowMs / 1_000 + burst) + slack;
        double lateRights = ratePerS * (RIGHT_VALIDITY_MS + RETURN_VALIDITY_MS) / 1_000;
        return Math.max(0, allowed - lateRights);
    }

    /** The capacity of a tenant's bucket, in requests. */
    double capacity(double ratePerS, double burst) {
        return Math.max(MIN_CAPACITY, burst + CAPACITY_SHARE * overageBudget(ratePerS, burst));
    }

    /** Requests that all edges together may send without rights while they have no coordinator. */
    int runAhead(double ratePerS, double burst) {
        return (int) (RUN_AHEAD_SHARE * overageBudget(ratePerS, burst));
    }

    /**
     * Time after a grant, ms, from which no request sent under its run-ahead can fall into the same window as a new
     * request.
     */
    long runAheadHoldMs() {
        return RUN_AHEAD_VALIDITY_MS + windowMs;
    }
}
