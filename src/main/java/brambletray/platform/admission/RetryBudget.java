package brambletray.platform.admission;

/**
 * Limits attempts beyond the first: in any sliding window they stay within ratio x requests + this queue's share of
 * the slack (rule BUDGET). To be on the safe side, requests are undercounted (first attempts of client requests only,
 * in buckets entirely inside the window) and retries overcounted (every bucket that overlaps it). Hedged requests get
 * at most half of what the other retries leave.
 */
final class RetryBudget {
    private static final int BUCKETS = 40;
    /** Factor on this queue's share of the slack in the first window after a takeover from another home. */
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

    /** Another edge may have been the home until now and may have spent part of the budget. */
    void onTakenOver(long now) {
        reducedUntilMs = now + limits.windowMs() + bucketMs;
    }

    /** No other edge was the home before: the whole share of the slack is available. */
    void onFirstHome() {
        reducedUntilMs = Long.MIN_VALUE;
    }

    /** Counts the first attempt of a client request. */
    void onRequest(long now) {
        roll(now);
        requests[bucketIndex(head)]++;
    }

    /** Whether a retry or hedged request is allowed now; {@link #spend} counts it. */
    boolean isAllowed(boolean hedge, long now) {
        roll(now);
        int requestCount = 0;
        int retryCount = 0;
        int hedgeCount = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            long bucket = head - i;
            if (i < BUCKETS) {
                requestCount += requests[bucketIndex(bucket)];
            }
            retryCount += retries[bucketIndex(bucket)];
            hedgeCount += hedges[bucketIndex(bucket)];
        }
        double allowed = limits.ratio() * requestCount
                + limits.slack() * limits.slackShare() * (now < reducedUntilMs ? TAKEOVER_SLACK_SHARE : 1);
        if (hedge) {
            return hedgeCount + 1 <= (allowed - retryCount) / 2;
        }
        return retryCount + hedgeCount + 1 <= allowed;
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
