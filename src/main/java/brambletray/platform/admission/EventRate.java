package brambletray.platform.admission;

/**
 * Events per ms, with a memory that fades by e in {@code tau} ms; right from the start, as the part of the memory not
 * yet filled is left out.
 */
final class EventRate {
    private final double tau;
    private double sum;
    private long last;
    private long first = Long.MIN_VALUE;

    EventRate(int tauMs) {
        tau = tauMs;
    }

    void add(long now) {
        if (first == Long.MIN_VALUE) {
            first = now;
        }
        fade(now);
        sum += 1;
    }

    double perMs(long now) {
        if (first == Long.MIN_VALUE) {
            return 0;
        }
        fade(now);
        double filled = 1 - Math.exp(-Math.max(1.0, (now - first) / tau));
        return sum / (tau * filled);
    }

    private void fade(long now) {
        if (now > last) {
            sum *= Math.exp((last - now) / tau);
            last = now;
        }
    }
}
