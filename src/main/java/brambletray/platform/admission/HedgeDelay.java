package brambletray.platform.admission;

/**
 * The delay of the delayed copy (the design, SimpleSpeculativeExecution with our percentile): above about nine in ten
 * of a service's recent answers, 200 ms before any are known. Answer times are counted in classes an eighth of an
 * octave wide; when {@value #MAX_SAMPLES} are held, all counts are halved, so that old ones fade. Bounded: 136 counts.
 */
public final class HedgeDelay {
    /** ms, before any answer is known. */
    public static final int FIRST_MS = 200;

    private static final int MAX_SAMPLES = 512;
    private static final int BUCKETS = 136;
    private static final int MIN_SAMPLES = 8;

    private int[] counts;
    private int total;

    /** An answer that took so long, ms. */
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

    /** After how long a copy may go out, ms. */
    public int delayMs() {
        return total < MIN_SAMPLES ? FIRST_MS : percentile(0.9, FIRST_MS);
    }

    /** The time within which this share of recent answers came, ms; {@code unknown} where none did. */
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

    /** Answers held. */
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
