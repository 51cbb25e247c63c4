package brambletray.platform.admission;

/**
 * Estimates how many slots the traffic of one queue needs. Little's law: arrival rate x response time, where the rate
 * rises quickly (the fast rate less {@code standardErrors} standard errors) and falls slowly. Headroom: enough that
 * only a share of e^-{@code tailExponent} of the requests waits longer than the slack of the target, but at most {@code
 * headroomFactor} square roots of the load; plus {@code burstHeadroom} x the load.
 */
final class SlotDemand {
    private final AdmissionParameters.Scaling parameters;
    private final EventRate fastRate;
    private final EventRate slowRate;
    private final HedgeDelay responseTimes = new HedgeDelay();
    private double workMs;
    private int responseCount;

    SlotDemand(AdmissionParameters.Scaling parameters) {
        this.parameters = parameters;
        fastRate = new EventRate(parameters.fastMemoryMs());
        slowRate = new EventRate(parameters.slowMemoryMs());
    }

    void onArrival(long now) {
        fastRate.add(now);
        slowRate.add(now);
    }

    void onAnswered(int durationMs) {
        responseCount++;
        workMs += (durationMs - workMs) * Math.max(0.05, 1.0 / responseCount);
        responseTimes.add(durationMs);
    }

    /**
     * Mean time for which a request holds a slot, ms; until one is known a quarter of the target, between 5 and 100 ms,
     * or 50 ms without a target.
     */
    int workMs(ServiceSpec spec) {
        if (responseCount > 0) {
            return Math.max(1, (int) Math.ceil(workMs));
        }
        return spec.targetMs() > 0 ? Math.max(5, Math.min(100, spec.targetMs() / 4)) : 50;
    }

    /** The 90th percentile of response times, ms. */
    int tailMs(ServiceSpec spec) {
        return responseTimes.percentile(0.9, 2 * workMs(spec));
    }

    /** Arrival rate used to scale up, requests per ms. */
    double rate(long now) {
        double f = fastRate.perMs(now);
        return Math.max(
                slowRate.perMs(now), f - parameters.standardErrors() * Math.sqrt(f / (2 * parameters.fastMemoryMs())));
    }

    /** Slowly averaged arrival rate used to scale down, requests per ms. */
    double slowRate(long now) {
        return slowRate.perMs(now);
    }

    /** Number of slots needed at a rate of requests per ms. */
    double slotsFor(double rate, ServiceSpec spec) {
        if (rate <= 0) {
            return 0;
        }
        double work = workMs(spec);
        double load = rate * work;
        double slack = Math.max(work / 4, 0.9 * spec.targetMs() - tailMs(spec));
        return load * (1 + parameters.burstHeadroom())
                + Math.min(parameters.headroomFactor() * Math.sqrt(load), parameters.tailExponent() * work / slack);
    }
}
