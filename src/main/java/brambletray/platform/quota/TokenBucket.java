package brambletray.platform.quota;

/** A token bucket that starts empty and may go into debt. Pure: callers pass the time, as ms of a monotonic clock. */
final class TokenBucket {
    private static final double MS_PER_S = 1_000;

    private double ratePerMs;
    private double capacity;
    private double tokens;
    private long updatedAtMs;

    TokenBucket(double ratePerS, double capacity, long nowMs) {
        this.ratePerMs = ratePerS / MS_PER_S;
        this.capacity = capacity;
        this.updatedAtMs = nowMs;
    }

    /** Changes the limits; accumulated tokens remain, up to the new capacity. */
    void updateLimits(double ratePerS, double newCapacity, long nowMs) {
        refill(nowMs);
        ratePerMs = ratePerS / MS_PER_S;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes one token if one is available. */
    boolean tryTake(long nowMs) {
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes tokens unconditionally, into debt if necessary. */
    void debit(int count, long nowMs) {
        refill(nowMs);
        tokens -= count;
    }

    /** Puts back unused tokens, but raises the bucket to at most {@code limit} tokens. */
    void credit(int count, double limit, long nowMs) {
        refill(nowMs);
        double maxTokens = Math.min(capacity, limit);
        tokens = Math.max(tokens, Math.min(maxTokens, tokens + count));
    }

    /** The current number of tokens; negative: the debt. */
    double tokens(long nowMs) {
        refill(nowMs);
        return tokens;
    }

    double capacity() {
        return capacity;
    }

    /** ms until the next token can be taken; 0: now. */
    long untilNextMs(long nowMs) {
        refill(nowMs);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / ratePerMs);
    }

    private void refill(long nowMs) {
        if (nowMs > updatedAtMs) {
            tokens = Math.min(capacity, tokens + ratePerMs * (nowMs - updatedAtMs));
            updatedAtMs = nowMs;
        }
    }
}
