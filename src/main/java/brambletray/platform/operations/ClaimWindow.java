package brambletray.platform.operations;

/** For how long a claim stands, so that it covers the key window from the latest sending of its request on. */
public final class ClaimWindow {
    /**
     * ms after an edge first asked for a claim, by its steady clock, up to which it may send the request to an
     * instance; later sends need another claim.
     */
    public static final int MAX_SEND_DELAY_MS = 10_000;
    /** Part of the window by which steady clocks of two machines may differ. */
    private static final double MAX_CLOCK_DRIFT = 0.005;

    private static final double MS_PER_S = 1_000;

    private ClaimWindow() {}

    /** ms of the log's time from the batch of the claim on; {@code keyWindowS}: the deployment's key window. */
    public static long claimDurationMs(double keyWindowS) {
        double minimumMs = keyWindowS * MS_PER_S + MAX_SEND_DELAY_MS;
        return (long) Math.ceil(minimumMs * (1 + MAX_CLOCK_DRIFT));
    }
}
