package brambletray.platform.provisioning;

/**
 * How fast starts and stops may be called: so many a second with a small burst, fewer after 429, and fewer at a time
 * while the platform does not answer.
 */
final class CallPacer {
    /** Calls without an answer at a time. */
    static final int WINDOW_MOST = 64;

    private static final int WINDOW_LEAST = 4;
    /** ms of the full rate that may be called at once. */
    private static final double BURST = 100;
    /** ms without calls after a 429. */
    private static final long REST = 100;

    private static final double LEAST_SHARE = 0.1;
    private static final double SLOWER = 0.7;
    private static final double FASTER = 0.01;

    private final double full;
    private final double burst;
    private double rate;
    private double tokens;
    private long at;
    private long restUntil;
    private int window = WINDOW_MOST;
    private int out;

    /** {@code perS}: calls accepted a second. A little below it is used, for calls bunch on their way. */
    CallPacer(double perS, long now) {
        full = perS * 0.95;
        burst = Math.max(1, full * BURST / 1000);
        rate = full;
        tokens = burst;
        at = now;
    }

    boolean free(long now) {
        if (now > at) {
            tokens = Math.min(burst, tokens + (now - at) * rate / 1000);
            at = now;
        }
        return tokens >= 1 && out < window && now >= restUntil;
    }

    void called() {
        tokens--;
        out++;
    }

    void answered(CallResult result, long now) {
        out--;
        switch (result) {
            case UNKNOWN -> window = Math.max(WINDOW_LEAST, window / 2);
            case BUSY -> {
                rate = Math.max(full * LEAST_SHARE, rate * SLOWER);
                tokens = Math.min(tokens, 0);
                restUntil = now + REST;
            }
            default -> {
                window = Math.min(WINDOW_MOST, window + 2);
                rate = Math.min(full, rate + full * FASTER);
            }
        }
    }
}
