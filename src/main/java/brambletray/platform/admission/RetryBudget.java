package brambletray.platform.admission;

/**
 * Rule BUDGET at a seat: arrivals beyond the first of each request, in any sliding window, stay within ratio x requests
 * + the seat's share of
 * the slack. Requests are counted low (first asks of clients only, whole buckets inside the window), further arrivals
 * high (buckets that touch
 * it). Copies get at most half of what the others leave.
 *
 * <p>A home that takes a service over does not know what the homes before it have spent in the window that is still
 * open. So for the first
 * window its share of the slack is a third: the share of one home is half of the slack, so with three moves in one
 * window the sum is the slack.
 */
final class RetryBudget {
    private static final int BUCKETS = 40;
    /** Part of a home's share of the slack in its first window, where it has taken the service over. */
    private static final double TAKEN_OVER = 1.0 / 3;

    private final AdmissionParameters.Again law;
    private final int width;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] repeats = new int[BUCKETS + 1];
    private final int[] copies = new int[BUCKETS + 1];
    private long head = Long.MIN_VALUE;
    private long reducedUntil = Long.MIN_VALUE;

    RetryBudget(AdmissionParameters.Again law) {
        this.law = law;
        this.width = Math.max(1, law.windowMs() / BUCKETS);
    }

    /** Another edge was home until now, as far as is known. */
    void takenOver(long now) {
        reducedUntil = now + law.windowMs() + width;
    }

    /** No other edge was home. */
    void takenFirst() {
        reducedUntil = Long.MIN_VALUE;
    }

    /** A first ask for a client's request. */
    void request(long now) {
        roll(now);
        requests[at(head)]++;
    }

    /** Whether a further arrival may go now; {@link #spend} counts it. */
    boolean may(boolean copy, long now) {
        roll(now);
        int asked = 0;
        int other = 0;
        int copied = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            long bucket = head - i;
            if (i < BUCKETS) {
                asked += requests[at(bucket)];
            }
            other += repeats[at(bucket)];
            copied += copies[at(bucket)];
        }
        double allowed = law.ratio() * asked + law.slack() * law.share() * (now < reducedUntil ? TAKEN_OVER : 1);
        if (copy) {
            return copied + 1 <= (allowed - other) / 2;
        }
        return other + copied + 1 <= allowed;
    }

    void spend(boolean copy, long now) {
        roll(now);
        (copy ? copies : repeats)[at(head)]++;
    }

    private void roll(long now) {
        long bucket = Math.floorDiv(now, width);
        if (head == Long.MIN_VALUE || bucket - head > BUCKETS) {
            java.util.Arrays.fill(requests, 0);
            java.util.Arrays.fill(repeats, 0);
            java.util.Arrays.fill(copies, 0);
            head = bucket;
        }
        while (head < bucket) {
            head++;
            requests[at(head)] = 0;
            repeats[at(head)] = 0;
            copies[at(head)] = 0;
        }
    }

    private static int at(long bucket) {
        return (int) Math.floorMod(bucket, BUCKETS + 1L);
    }
}
