package brambletray.platform.admission;

/**
 * The delay of a hedged request: the 90th percentile of a service's recent response times, rounded up, or {@value
 * #FIRST_MS} ms until enough are known. Response times are counted in a histogram with eight buckets per octave; at
 * {@value #MAX_SAMPLES} samples all counts are halved, so that old samples fade. Memory is bounded: {@value #BUCKETS}
 * counts.
 */
public final class HedgeDelay {
    /** The delay until {@value #MIN_SAMPLES} response times are known, ms. */
    public static final int FIRST_MS = 200;

    private static final int MAX_SAMPLES = 512;
    private static final int BUCKETS = 136;
    private static final int MIN_SAMPLES = 8;

    private int[] counts;
    private int total;

    /** Adds a response time, ms. */
    public void add(int durationMs) {
        if (counts == null) {
            counts = new int[BUCKETS];
        }
        counts[bucketOf(Math.max(0, durationMs))]++;
        if (++total >= MAX_SAMPLES) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] >>= 1;
                total += counts[i];
            }
        }
    }

    /** The time after which a hedged request may be sent, ms. */
    public int delayMs() {
        return total < MIN_SAMPLES ? FIRST_MS : percentile(0.9, FIRST_MS);
    }

    /** The percentile {@code share} of recent response times, ms; {@code unknown} if there are none. */
    public int percentile(double share, int unknown) {
        if (total == 0) {
            return unknown;
        }
        int wanted = (int) Math.ceil(share * total);
        int seen = 0;
        for (int i = 0; i < BUCKETS; i++) {
            seen += counts[i];
            if (seen >= wanted) {
                return upperBoundMs(i);
            }
        }
        return upperBoundMs(BUCKETS - 1);
    }

    /** Number of samples held. */
    public int sampleCount() {
        return total;
    }

    private static int bucketOf(int ms) {
        if (ms < 8) {
            return ms;
        }
        int octave = 31 - Integer.numberOfLeadingZeros(ms);
        return Math.min(BUCKETS - 1, ((octave - 2) << 3) + ((ms >> (octave - 3)) & 7));
    }

    private static int upperBoundMs(int index) {
        if (index < 8) {
            return index + 1;
        }
        int octave = (index >> 3) + 2;
        return ((index & 7) + 9) << (octave - 3);
    }
}
