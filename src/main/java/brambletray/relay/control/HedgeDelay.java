package brambletray.relay.control;

import java.io.Serializable;
import java.util.Arrays;

/**
 * Delay after which an unanswered call is hedged: a high quantile of the recent response times of one destination.
 * Reads no clock and is independent of the other classes; times are whole microseconds; not thread-safe.
 */
public final class HedgeDelay implements Serializable {
    /** us; hedge delay until enough answers of a destination are known. */
    public static final long INITIAL_DELAY_US = 200_000;
    /** Share of recent answers below the hedge delay; the specification asks for about nine in ten. */
    private static final double DELAY_QUANTILE = 0.95;
    /** Window size: large enough to show the tail, small enough to follow changes. */
    private static final int SAMPLES = 48;
    /** Answers needed before the quantile is used. */
    private static final int MIN_SAMPLES = 8;

    private static final long serialVersionUID = 1;

    private final long[] ring = new long[SAMPLES];
    /** The samples in ascending order; null when {@link #add} was called since they were last sorted. */
    private long[] sorted;

    private int count;

    /** Adds a response time, in us. */
    public void add(long time) {
        ring[count++ % ring.length] = time;
        sorted = null;
    }

    /** True once there are enough samples to use their quantile. */
    public boolean isKnown() {
        return count >= MIN_SAMPLES;
    }

    /** True once there are twice as many; until then the usual answer time follows each new sample closely. */
    public boolean isSettled() {
        return count >= 2 * MIN_SAMPLES;
    }

    /** us after which an unanswered call is hedged; {@link #INITIAL_DELAY_US} until {@link #isKnown}. */
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
