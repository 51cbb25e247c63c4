package brambletray.platform.admission;

/**
 * The seat of a zone other than the root's. It serves while it has hosts that are up; while it has none, asks go back
 * to the root and a first host boots. When its demand has long been too low to pay for hosts of its own, it closes:
 * asks go back to the root, and its hosts end as they become empty.
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
     * Whether an ask is sent back to the root. {@code rate}: this seat's requests per ms, slowly; {@code
     * breakEvenRate}: what pays for hosts.
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

    /** Its hosts end as they become empty. */
    boolean isClosed(long now) {
        return now < closedUntilMs;
    }

    /** A first host is wanted though none waits here. */
    boolean isWarming(long now) {
        return now < warmUntilMs && !isClosed(now);
    }

    void serveAnyway() {
        closedUntilMs = Long.MIN_VALUE;
    }
}
