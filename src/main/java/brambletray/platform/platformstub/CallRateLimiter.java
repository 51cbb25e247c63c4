package brambletray.platform.platformstub;

/** Limits calls a second, with bursts of as many as a quarter of a second allows. */
final class CallRateLimiter {
    private final double callsPerMs;
    private final double maxTokens;
    private double tokens;
    private long updatedAtMs;

    CallRateLimiter(double ratePerS, long now) {
        callsPerMs = ratePerS / 1000;
        maxTokens = Math.max(1, ratePerS / 4);
        tokens = maxTokens;
        updatedAtMs = now;
    }

    boolean tryAcquire(long now) {
        tokens = Math.min(maxTokens, tokens + (now - updatedAtMs) * callsPerMs);
        updatedAtMs = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
