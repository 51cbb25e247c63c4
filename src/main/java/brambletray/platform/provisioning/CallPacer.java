package brambletray.platform.provisioning;

/**
 * How fast starts and stops may be called: so many a second with a small burst, fewer after 429, and fewer at a time
 * while the platform does not answer.
 */
final class CallPacer {
    /** Calls without an answer at a time. */
    static final int MAX_WINDOW = 64;

    private static final int MIN_WINDOW = 4;
    /** ms of the full rate that may be called at once. */
    private static final double BURST = 100;
    /** ms without calls after a 429. */
    private static final long BACKOFF_MS = 100;

    private static final double MIN_RATE_SHARE = 0.1;
    private static final double RATE_DECREASE = 0.7;
    private static final double RATE_INCREASE = 0.01;

    private final double fullRate;
    private final double burst;
    private double rate;
    private double tokens;
    private long updatedAtMs;
    private long backoffUntilMs;
    private int window = MAX_WINDOW;
    private int inFlight;

    /** {@code ratePerS}: calls accepted a second. A little below it is used, for calls bunch on their way. */
    CallPacer(double ratePerS, long now) {
        fullRate = ratePerS * 0.95;
        burst = Math.max(1, fullRate * BURST / 1000);
        rate = fullRate;
        tokens = burst;
        updatedAtMs = now;
    }

    boolean mayCall(long now) {
        if (now > updatedAtMs) {
            tokens = Math.min(burst, tokens + (now - updatedAtMs) * rate / 1000);
            updatedAtMs = now;
        }
        return tokens >= 1 && inFlight < window && now >= backoffUntilMs;
    }

    void onCalled() {
        tokens--;
        inFlight++;
    }

    void onAnswered(CallResult result, long now) {
        inFlight--;
        switch (result) {
            case UNKNOWN -> window = Math.max(MIN_WINDOW, window / 2);
            case BUSY -> {
                rate = Math.max(fullRate * MIN_RATE_SHARE, rate * RATE_DECREASE);
                tokens = Math.min(tokens, 0);
                backoffUntilMs = now + BACKOFF_MS;
            }
            default -> {
                window = Math.min(MAX_WINDOW, window + 2);
                rate = Math.min(fullRate, rate + fullRate * RATE_INCREASE);
            }
        }
    }
}
