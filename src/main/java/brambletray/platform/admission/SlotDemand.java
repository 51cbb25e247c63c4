package brambletray.platform.admission;

/**
 * How many places a seat's traffic needs. Little: rate x answer time, where the rate goes up fast (the fast rate less
 * {@code sure} standard errors) and down slowly. Headroom: enough that the share e^-tail of requests waits longer than
 * the slack of the target, no more than k roots of the load, and {@code burst} of the load besides.
 */
final class SlotDemand {
    private final AdmissionParameters.Scale law;
    private final EventRate fast;
    private final EventRate slow;
    private final HedgeDelay took = new HedgeDelay();
    private double workMs;
    private int answers;

    SlotDemand(AdmissionParameters.Scale law) {
        this.law = law;
        fast = new EventRate(law.fastMs());
        slow = new EventRate(law.slowMs());
    }

    void arrived(long now) {
        fast.add(now);
        slow.add(now);
    }

    void answered(int tookMs) {
        answers++;
        workMs += (tookMs - workMs) * Math.max(0.05, 1.0 / answers);
        took.add(tookMs);
    }

    /** The mean time that a request holds a place, ms; before any is known a quarter of the target, 100 ms at most. */
    int workMs(ServiceSpec spec) {
        if (answers > 0) {
            return Math.max(1, (int) Math.ceil(workMs));
        }
        return spec.targetMs() > 0 ? Math.max(5, Math.min(100, spec.targetMs() / 4)) : 50;
    }

    /** The time within which nine in ten answers come, ms. */
    int tailMs(ServiceSpec spec) {
        return took.percentile(0.9, 2 * workMs(spec));
    }

    /** Requests per ms. */
    double rate(long now) {
        double f = fast.perMs(now);
        return Math.max(slow.perMs(now), f - law.sure() * Math.sqrt(f / (2 * law.fastMs())));
    }

    /** The same, slowly: for what may go away. */
    double slowRate(long now) {
        return slow.perMs(now);
    }

    /** Places needed at a rate. */
    double places(double rate, ServiceSpec spec) {
        if (rate <= 0) {
            return 0;
        }
        double work = workMs(spec);
        double load = rate * work;
        double slack = Math.max(work / 4, 0.9 * spec.targetMs() - tailMs(spec));
        return load * (1 + law.burst()) + Math.min(law.k() * Math.sqrt(load), law.tail() * work / slack);
    }
}
