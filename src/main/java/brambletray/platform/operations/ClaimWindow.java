package brambletray.platform.operations;

/** How long a claim stays active: long enough to cover the key window after the latest send of its request. */
public final class ClaimWindow {
    /**
     * How long after first requesting a claim an edge may send the request to an instance, ms of its monotonic clock;
     * later sends need another claim.
     */
    public static final int MAX_SEND_DELAY_MS = 10_000;
    /** Relative drift allowed between the monotonic clocks of two machines. */
    private static final double MAX_CLOCK_DRIFT = 0.005;

    private static final double MS_PER_S = 1_000;

    private ClaimWindow() {}

    /** How long a claim stays active after its batch, ms of log time; {@code keyWindowS}: the key window, s. */
    public static long claimDurationMs(double keyWindowS) {
        double minimumMs = keyWindowS * MS_PER_S + MAX_SEND_DELAY_MS;
        return (long) Math.ceil(minimumMs * (1 + MAX_CLOCK_DRIFT));
    }
}
