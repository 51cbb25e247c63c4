package brambletray.platform.admission;

/**
 * Decides how long the last instance of a service is kept idle. Each interval without a request is a gap: keeping an
 * instance through it costs memory, stopping it earlier costs a start and the late requests it causes. The chosen time
 * is the one that would have been cheapest over the observed gaps (a decaying histogram), with a small weight in every
 * bucket as a prior.
 */
final class KeepAlivePolicy {
    private static final int BUCKETS = 18;
    /** Upper bounds of the buckets, ms: from 100 ms on, each 1.5 times the one before. */
    private static final int[] BUCKET_ENDS_MS = new int[BUCKETS];

    static {
        double end = 100;
        for (int i = 0; i < BUCKETS; i++) {
            BUCKET_ENDS_MS[i] = (int) end;
            end *= 1.5;
        }
    }

    private final AdmissionParameters.KeepAlive parameters;
    private float[] gapWeights;
    private long lastArrivalMs = Long.MIN_VALUE;

    KeepAlivePolicy(AdmissionParameters.KeepAlive parameters) {
        this.parameters = parameters;
    }

    /** A request arrived; {@code idle}: no other was being served or queued. */
    void onArrival(boolean idle, long now) {
        if (idle && lastArrivalMs != Long.MIN_VALUE) {
            long gap = now - lastArrivalMs;
            if (gapWeights == null) {
                gapWeights = new float[BUCKETS + 1];
            }
            for (int i = 0; i <= BUCKETS; i++) {
                gapWeights[i] *= 0.97f;
            }
            gapWeights[bucketOf(gap)] += 1;
        }
        lastArrivalMs = now;
    }

    /** The cost of a start including the late requests it causes, GB-seconds. */
    double startCostGbS(ServiceSpec spec, int bootMs) {
        double late = spec.targetMs() <= 0 ? 0 : Math.min(1, Math.max(0, 2.0 * bootMs / spec.targetMs() - 1));
        return parameters.startGbS() + parameters.lateRequestGbS() * late * late;
    }

    /** The idle time whose memory costs as much as a start, ms, within the configured bounds. */
    int breakEvenMs(ServiceSpec spec, int bootMs) {
        return (int) Math.max(
                parameters.minIdleMs(),
                Math.min(parameters.maxIdleMs(), startCostGbS(spec, bootMs) * 1024_000 / spec.memoryMb()));
    }

    /** How long the last instance is kept idle, ms. */
    int keepAliveMs(ServiceSpec spec, int bootMs) {
        int breakEvenMs = breakEvenMs(spec, bootMs);
        if (gapWeights == null) {
            return breakEvenMs;
        }
        double prior = 2.0 / (BUCKETS + 1);
        double remainingWeight = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            remainingWeight += gapWeights[i] + prior;
        }
        double idleCost = 0;
        double best = remainingWeight * breakEvenMs;
        int span = parameters.minIdleMs();
        for (int i = 0; i < BUCKETS; i++) {
            double weight = gapWeights[i] + prior;
            idleCost += weight * (i == 0 ? BUCKET_ENDS_MS[0] / 2.0 : (BUCKET_ENDS_MS[i] + BUCKET_ENDS_MS[i - 1]) / 2.0);
            remainingWeight -= weight;
            double cost = idleCost + remainingWeight * ((double) BUCKET_ENDS_MS[i] + breakEvenMs);
            if (cost < best) {
                best = cost;
                span = BUCKET_ENDS_MS[i];
            }
        }
        return Math.max(parameters.minIdleMs(), Math.min(parameters.maxIdleMs(), span));
    }

    private static int bucketOf(long gap) {
        int i = 0;
        while (i < BUCKETS && gap > BUCKET_ENDS_MS[i]) {
            i++;
        }
        return i;
    }
}
