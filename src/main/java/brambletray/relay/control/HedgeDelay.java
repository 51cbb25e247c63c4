package brambletray.relay.control;

import java.io.Serializable;
import java.util.Arrays;

/**
 * The delay after which a call with no answer is sent once more elsewhere (hedged request). It sits
 * above about nine in ten of the recent answers of one destination. Add the time of each answer and ask. It
 * reads no clock and needs nothing else of the module; times are whole microseconds; one thread.
 */
public final class HedgeDelay implements Serializable {
    /** us; hedge delay until a destination's answers are known (the design's figure). */
    public static final long INITIAL_DELAY_US = 200_000;
    /** Share of recent answers below the hedge delay; the design asks for about nine in ten. */
    private static final double DELAY_QUANTILE = 0.95;
    /** Answers remembered for the delay: enough for a tail, few enough to follow changes. */
    private static final int SAMPLES = 48;
    /** Answers from which on the delay is known. */
    private static final int MIN_SAMPLES = 8;

    private static final long serialVersionUID = 1;

    private final long[] ring = new long[SAMPLES];
    /** The answers held, the shortest first; null where one came since it was last asked for. */
    private long[] sorted;

    private int count;

    /** An answer has come this many us after its call was sent. */
    public void add(long time) {
        ring[count++ % ring.length] = time;
        sorted = null;
    }

    /** False until enough answers came for a delay of their own. */
    public boolean isKnown() {
        return count >= MIN_SAMPLES;
    }

    /** False until twice as many came: a usual time still follows each answer closely. */
    public boolean isSettled() {
        return count >= 2 * MIN_SAMPLES;
    }

    /** us after which a call with no answer is run once more; {@link #INITIAL_DELAY_US} until enough answers came. */
    public long delayUs() {
        if (!isKnown()) {
            return INITIAL_DELAY_US;
        }
        if (sorted == null) {
            sorted = Arrays.copyOf(ring, Math.min(count, ring.length));
            Arrays.sort(sorted);
        }
        return sorted[(int) Math.min(sorted.length - 1, Math.ceil(DELAY_QUANTILE * sorted.length))];
    }
}
