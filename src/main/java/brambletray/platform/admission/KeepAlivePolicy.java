package brambletray.platform.admission;

/**
 * How long the last host of a seat is kept idle. Each span of the seat without a request is a gap; a host kept through
 * it costs memory, one that ended before it is over costs a start (and what lateness the start brings). The span kept
 * is the one that would have been cheapest over the gaps seen, with a few gaps of every length put in beforehand. Older
 * gaps fade.
 */
final class KeepAlivePolicy {
    private static final int CLASSES = 18;
    /** Upper ends of the classes, ms: from 100 ms on, each half as long again. */
    private static final int[] ENDS = new int[CLASSES];

    static {
        double end = 100;
        for (int i = 0; i < CLASSES; i++) {
            ENDS[i] = (int) end;
            end *= 1.5;
        }
    }

    private final AdmissionParameters.Keep law;
    private float[] gaps;
    private long lastAt = Long.MIN_VALUE;

    KeepAlivePolicy(AdmissionParameters.Keep law) {
        this.law = law;
    }

    /** A request has come; {@code idle}: none was at work or waiting. */
    void arrived(boolean idle, long now) {
        if (idle && lastAt != Long.MIN_VALUE) {
            long gap = now - lastAt;
            if (gaps == null) {
                gaps = new float[CLASSES + 1];
            }
            for (int i = 0; i <= CLASSES; i++) {
                gaps[i] *= 0.97f;
            }
            gaps[of(gap)] += 1;
        }
        lastAt = now;
    }

    /** The price of a start, GB-seconds, with its share of lateness. */
    double startGbS(ServiceSpec spec, int bootMs) {
        double late = spec.targetMs() <= 0 ? 0 : Math.min(1, Math.max(0, 2.0 * bootMs / spec.targetMs() - 1));
        return law.startGbS() + law.lateGbS() * late * late;
    }

    /** The break-even of a start against memory, ms. */
    int breakEvenMs(ServiceSpec spec, int bootMs) {
        return (int)
                Math.max(law.leastMs(), Math.min(law.mostMs(), startGbS(spec, bootMs) * 1024_000 / spec.memoryMb()));
    }

    /** The span for the last host, ms. */
    int spanMs(ServiceSpec spec, int bootMs) {
        int even = breakEvenMs(spec, bootMs);
        if (gaps == null) {
            return even;
        }
        double prior = 2.0 / (CLASSES + 1);
        double more = 0;
        for (int i = 0; i <= CLASSES; i++) {
            more += gaps[i] + prior;
        }
        double kept = 0;
        double best = more * even;
        int span = law.leastMs();
        for (int i = 0; i < CLASSES; i++) {
            double here = gaps[i] + prior;
            kept += here * (i == 0 ? ENDS[0] / 2.0 : (ENDS[i] + ENDS[i - 1]) / 2.0);
            more -= here;
            double cost = kept + more * ((double) ENDS[i] + even);
            if (cost < best) {
                best = cost;
                span = ENDS[i];
            }
        }
        return Math.max(law.leastMs(), Math.min(law.mostMs(), span));
    }

    private static int of(long gap) {
        int i = 0;
        while (i < CLASSES && gap > ENDS[i]) {
            i++;
        }
        return i;
    }
}
