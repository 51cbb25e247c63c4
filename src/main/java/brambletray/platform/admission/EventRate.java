package brambletray.platform.admission;

/**
 * Events per ms, with a memory that fades by e in {@code decayMs} ms; right from the start, as the part of the memory
 * not yet filled is left out.
 */
final class EventRate {
    private final double decayMs;
    private double sum;
    private long lastMs;
    private long firstMs = Long.MIN_VALUE;

    EventRate(int tauMs) {
        decayMs = tauMs;
    }

    void add(long now) {
        if (firstMs == Long.MIN_VALUE) {
            firstMs = now;
        }
        decay(now);
        sum += 1;
    }

    double perMs(long now) {
        if (firstMs == Long.MIN_VALUE) {
            return 0;
        }
        decay(now);
        double filled = 1 - Math.exp(-Math.max(1.0, (now - firstMs) / decayMs));
        return sum / (decayMs * filled);
    }

    private void decay(long now) {
        if (now > lastMs) {
            sum *= Math.exp((lastMs - now) / decayMs);
            lastMs = now;
        }
    }
}
