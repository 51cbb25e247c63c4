package brambletray.platform.admission;

/**
 * Limits attempts beyond the first: in any sliding window they stay within ratio x requests + this queue's share of
 * the slack (rule BUDGET). Requests are undercounted (first requests of clients only, only buckets entirely inside
 * the window), retries overcounted (every bucket that touches it). Hedged requests get at most half of what the other
 * retries leave.
 */
final class RetryBudget {
    private static final int BUCKETS = 40;
    /** Part of a home's share of the slack in its first window, where it has taken the service over. */
    private static final double TAKEOVER_SLACK_SHARE = 1.0 / 3;

    private final AdmissionParameters.RetryBudgetLimits limits;
    private final int bucketMs;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] retries = new int[BUCKETS + 1];
    private final int[] hedges = new int[BUCKETS + 1];
    private long head = Long.MIN_VALUE;
    private long reducedUntilMs = Long.MIN_VALUE;

    RetryBudget(AdmissionParameters.RetryBudgetLimits limits) {
        this.limits = limits;
        this.bucketMs = Math.max(1, limits.windowMs() / BUCKETS);
    }

    /** Another edge was home until now, as far as is known. */
    void onTakenOver(long now) {
        reducedUntilMs = now + limits.windowMs() + bucketMs;
    }

    /** No other edge was home. */
    void onFirstHome() {
        reducedUntilMs = Long.MIN_VALUE;
    }

    /** A first slot request for a client's request. */
    void onRequest(long now) {
        roll(now);
        requests[bucketIndex(head)]++;
    }

    /** Whether a further arrival may go now; {@link #spend} counts it. */
    boolean isAllowed(boolean hedge, long now) {
        roll(now);
        int asked = 0;
        int other = 0;
        int hedged = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            long bucket = head - i;
            if (i < BUCKETS) {
                asked += requests[bucketIndex(bucket)];
            }
            other += retries[bucketIndex(bucket)];
            hedged += hedges[bucketIndex(bucket)];
        }
        double allowed = limits.ratio() * asked
                + limits.slack() * limits.slackShare() * (now < reducedUntilMs ? TAKEOVER_SLACK_SHARE : 1);
        if (hedge) {
            return hedged + 1 <= (allowed - other) / 2;
        }
        return other + hedged + 1 <= allowed;
    }

    void spend(boolean hedge, long now) {
        roll(now);
        (hedge ? hedges : retries)[bucketIndex(head)]++;
    }

    private void roll(long now) {
        long bucket = Math.floorDiv(now, bucketMs);
        if (head == Long.MIN_VALUE || bucket - head > BUCKETS) {
            java.util.Arrays.fill(requests, 0);
            java.util.Arrays.fill(retries, 0);
            java.util.Arrays.fill(hedges, 0);
            head = bucket;
        }
        while (head < bucket) {
            head++;
            requests[bucketIndex(head)] = 0;
            retries[bucketIndex(head)] = 0;
            hedges[bucketIndex(head)] = 0;
        }
    }

    private static int bucketIndex(long bucket) {
        return (int) Math.floorMod(bucket, BUCKETS + 1L);
    }
}
