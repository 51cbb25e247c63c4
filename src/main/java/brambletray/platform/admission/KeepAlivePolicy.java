package brambletray.platform.admission;

/**
 * How long the last instance of a service is kept idle. Each interval without a request is a gap: keeping an instance
 * through it costs memory, stopping it earlier costs a start and the lateness that comes with it. The chosen time is
 * the one that would have been cheapest over the observed gaps, with a few gaps of every length as a prior.
 */
final class KeepAlivePolicy {
    private static final int BUCKETS = 18;
    /** Upper ends of the classes, ms: from 100 ms on, each half as long again. */
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

    /** A request has come; {@code idle}: none was at work or waiting. */
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

    /** The price of a start, GB-seconds, with its share of lateness. */
    double startCostGbS(ServiceSpec spec, int bootMs) {
        double late = spec.targetMs() <= 0 ? 0 : Math.min(1, Math.max(0, 2.0 * bootMs / spec.targetMs() - 1));
        return parameters.startGbS() + parameters.lateRequestGbS() * late * late;
    }

    /** The break-even of a start against memory, ms. */
    int breakEvenMs(ServiceSpec spec, int bootMs) {
        return (int) Math.max(
                parameters.minIdleMs(),
                Math.min(parameters.maxIdleMs(), startCostGbS(spec, bootMs) * 1024_000 / spec.memoryMb()));
    }

    /** The span for the last host, ms. */
    int keepAliveMs(ServiceSpec spec, int bootMs) {
        int even = breakEvenMs(spec, bootMs);
        if (gapWeights == null) {
            return even;
        }
        double prior = 2.0 / (BUCKETS + 1);
        double more = 0;
        for (int i = 0; i <= BUCKETS; i++) {
            more += gapWeights[i] + prior;
        }
        double idleCost = 0;
        double best = more * even;
        int span = parameters.minIdleMs();
        for (int i = 0; i < BUCKETS; i++) {
            double here = gapWeights[i] + prior;
            idleCost += here * (i == 0 ? BUCKET_ENDS_MS[0] / 2.0 : (BUCKET_ENDS_MS[i] + BUCKET_ENDS_MS[i - 1]) / 2.0);
            more -= here;
            double cost = idleCost + more * ((double) BUCKET_ENDS_MS[i] + even);
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
