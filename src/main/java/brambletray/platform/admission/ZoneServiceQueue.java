package brambletray.platform.admission;

/**
 * The seat of a zone other than the root's. It serves while it has hosts that are up; while it has none, asks go back
 * to the root and a first host boots. When its demand has long been too low to pay for hosts of its own, it closes:
 * asks go back to the root, and its hosts end as they become empty.
 */
final class ZoneServiceQueue {
    private final AdmissionParameters.Spread law;
    private long lowSince = Long.MIN_VALUE;
    private long closedUntil = Long.MIN_VALUE;
    private long warmUntil = Long.MIN_VALUE;

    ZoneServiceQueue(AdmissionParameters.Spread law) {
        this.law = law;
    }

    /**
     * Whether an ask is sent back to the root. {@code rate}: this seat's requests per ms, slowly; {@code pays}: what
     * pays for hosts.
     */
    boolean away(boolean anyUp, double rate, double pays, int bootMs, long now) {
        if (closed(now)) {
            return true;
        }
        if (!anyUp) {
            warmUntil = now + 2L * bootMs;
            lowSince = Long.MIN_VALUE;
            return true;
        }
        if (rate >= law.closeShare() * pays) {
            lowSince = Long.MIN_VALUE;
        } else if (lowSince == Long.MIN_VALUE) {
            lowSince = now;
        } else if (now - lowSince >= law.closeMs()) {
            lowSince = Long.MIN_VALUE;
            closedUntil = now + 2L * law.closeMs();
            return true;
        }
        return false;
    }

    /** Its hosts end as they become empty. */
    boolean closed(long now) {
        return now < closedUntil;
    }

    /** A first host is wanted though none waits here. */
    boolean warming(long now) {
        return now < warmUntil && !closed(now);
    }

    void serveAnyway() {
        closedUntil = Long.MIN_VALUE;
    }
}
