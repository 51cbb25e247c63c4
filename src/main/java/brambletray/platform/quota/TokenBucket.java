package brambletray.platform.quota;

/** A token bucket that can be in debt. It begins empty. Pure: time comes in as steady ms. */
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

    /** Other limits from now on: what was accumulated stays, up to the new capacity. */
    void updateLimits(double ratePerS, double newCapacity, long nowMs) {
        refill(nowMs);
        ratePerMs = ratePerS / MS_PER_S;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /** Takes one token if there is one. */
    boolean tryTake(long nowMs) {
        refill(nowMs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Takes tokens that are there or not. */
    void debit(int count, long nowMs) {
        refill(nowMs);
        tokens -= count;
    }

    /** Puts back what was taken and not used, as far as no more than {@code limit} tokens are there then. */
    void credit(int count, double limit, long nowMs) {
        refill(nowMs);
        double most = Math.min(capacity, limit);
        tokens = Math.max(tokens, Math.min(most, tokens + count));
    }

    /** Below 0: the debt. */
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
