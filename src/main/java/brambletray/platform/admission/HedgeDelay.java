package brambletray.platform.admission;

/**
 * The delay of the delayed copy (the design, SimpleSpeculativeExecution with our percentile): above about nine in ten
 * of a service's recent answers, 200 ms before any are known. Answer times are counted in classes an eighth of an
 * octave wide; when {@value #MEMORY} are held, all counts are halved, so that old ones fade. Bounded: 136 counts.
 */
public final class HedgeDelay {
    /** ms, before any answer is known. */
    public static final int FIRST_MS = 200;

    private static final int MEMORY = 512;
    private static final int CLASSES = 136;
    private static final int ENOUGH = 8;

    private int[] counts;
    private int total;

    /** An answer that took so long, ms. */
    public void add(int tookMs) {
        if (counts == null) {
            counts = new int[CLASSES];
        }
        counts[of(Math.max(0, tookMs))]++;
        if (++total >= MEMORY) {
            total = 0;
            for (int i = 0; i < CLASSES; i++) {
                counts[i] >>= 1;
                total += counts[i];
            }
        }
    }

    /** After how long a copy may go out, ms. */
    public int delayMs() {
        return total < ENOUGH ? FIRST_MS : percentile(0.9, FIRST_MS);
    }

    /** The time within which this share of recent answers came, ms; {@code unknown} where none did. */
    public int percentile(double share, int unknown) {
        if (total == 0) {
            return unknown;
        }
        int wanted = (int) Math.ceil(share * total);
        int seen = 0;
        for (int i = 0; i < CLASSES; i++) {
            seen += counts[i];
            if (seen >= wanted) {
                return upper(i);
            }
        }
        return upper(CLASSES - 1);
    }

    /** Answers held. */
    public int known() {
        return total;
    }

    private static int of(int ms) {
        if (ms < 8) {
            return ms;
        }
        int octave = 31 - Integer.numberOfLeadingZeros(ms);
        return Math.min(CLASSES - 1, ((octave - 2) << 3) + ((ms >> (octave - 3)) & 7));
    }

    private static int upper(int index) {
        if (index < 8) {
            return index + 1;
        }
        int octave = (index >> 3) + 2;
        return ((index & 7) + 9) << (octave - 3);
    }
}
