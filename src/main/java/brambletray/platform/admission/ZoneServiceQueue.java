package brambletray.platform.admission;

/**
 * The queue of a service in a zone other than its root zone. It serves while it has instances that are up; while it
 * has none, requests go back to the root zone and a first instance boots. When demand has been too low for too long
 * to justify its own instances it closes: requests go back to the root zone, and its instances are stopped as they
 * become empty.
 */
final class ZoneServiceQueue {
    private final AdmissionParameters.Spread parameters;
    private long lowDemandSinceMs = Long.MIN_VALUE;
    private long closedUntilMs = Long.MIN_VALUE;
    private long warmUntilMs = Long.MIN_VALUE;

    ZoneServiceQueue(AdmissionParameters.Spread parameters) {
        this.parameters = parameters;
    }

    /**
     * Whether a request is sent back to the root zone. {@code rate}: this queue's slowly averaged requests per ms;
     * {@code breakEvenRate}: the rate that justifies its own instances.
     */
    boolean shouldRedirect(boolean anyUp, double rate, double breakEvenRate, int bootMs, long now) {
        if (isClosed(now)) {
            return true;
        }
        if (!anyUp) {
            warmUntilMs = now + 2L * bootMs;
            lowDemandSinceMs = Long.MIN_VALUE;
            return true;
        }
        if (rate >= parameters.closeShare() * breakEvenRate) {
            lowDemandSinceMs = Long.MIN_VALUE;
        } else if (lowDemandSinceMs == Long.MIN_VALUE) {
            lowDemandSinceMs = now;
        } else if (now - lowDemandSinceMs >= parameters.closeAfterMs()) {
            lowDemandSinceMs = Long.MIN_VALUE;
            closedUntilMs = now + 2L * parameters.closeAfterMs();
            return true;
        }
        return false;
    }

    /** Whether the queue is closed: its instances are stopped as they become empty. */
    boolean isClosed(long now) {
        return now < closedUntilMs;
    }

    /** Whether a first instance is needed although no request is queued here. */
    boolean isWarming(long now) {
        return now < warmUntilMs && !isClosed(now);
    }

    void serveAnyway() {
        closedUntilMs = Long.MIN_VALUE;
    }
}
