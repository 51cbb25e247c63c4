package brambletray.tray.home;

/**
 * Rule BUDGET at a seat: arrivals beyond the first of each request, in any sliding window, stay within ratio x requests
 * + the seat's share of the slack. Requests are counted low (first asks of clients only, whole buckets inside the
 * window), further arrivals high (buckets that touch it). Copies get at most half of what the others leave.
 */
final class Budget {
    private static final int BUCKETS = 40;

    private final Laws.Again law;
    private final int width;
    private final int[] requests = new int[BUCKETS + 1];
    private final int[] repeats = new int[BUCKETS + 1];
    private final int[] copies = new int[BUCKETS + 1];
    private long head = Long.MIN_VALUE;

    Budget(Laws.Again law) {
        this.law = law;
        this.width = Math.max(1, law.windowMs() / BUCKETS);
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
        double allowed = law.ratio() * asked + law.slack() * law.share();
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
