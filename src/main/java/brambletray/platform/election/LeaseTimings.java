package brambletray.platform.election;

/**
 * Durations in milliseconds. A holder acts for {@code holderLeaseMs} from sending a request that a majority granted.
 * Voters refuse others for {@code voterLeaseMs} from receiving it, which is later and longer. So the old holder has
 * stopped before a new one starts, provided that the monotonic clocks run at about the same rate.
 *
 * @param renewIntervalMs time between renewals
 * @param holderLeaseMs how long the holder may act after sending a request that a majority granted
 * @param voterLeaseMs how long a voter refuses other candidates after a grant
 * @param maxTickDelayMs delay of its own tick beyond which a holder stops acting until the next renewal
 * @param rankDelayMs delay between candidates of adjacent ranks
 */
public record LeaseTimings(
        int renewIntervalMs, int holderLeaseMs, int voterLeaseMs, int maxTickDelayMs, int rankDelayMs) {
    /** The default timings. */
    public static LeaseTimings defaults() {
        return new LeaseTimings(200, 800, 1200, 400, 250);
    }
}
