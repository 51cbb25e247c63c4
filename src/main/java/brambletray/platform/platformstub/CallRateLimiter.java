package brambletray.platform.platformstub;

/** So many calls a second, a quarter of a second's worth at once. */
final class CallRateLimiter {
    private final double perMs;
    private final double most;
    private double tokens;
    private long at;

    CallRateLimiter(double perS, long now) {
        perMs = perS / 1000;
        most = Math.max(1, perS / 4);
        tokens = most;
        at = now;
    }

    boolean pass(long now) {
        tokens = Math.min(most, tokens + (now - at) * perMs);
        at = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
