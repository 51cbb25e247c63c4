package brambletray.platform.admission;

/**
 * Event rate per ms, an exponentially weighted average with time constant {@code decayMs}. Corrected for the initial
 * bias: the part of the averaging time before the first event is left out.
 */
final class EventRate {
    private final double decayMs;
    private double sum;
    private long lastMs;
    private long firstMs = Long.MIN_VALUE;

    EventRate(int decayMs) {
        this.decayMs = decayMs;
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
