package brambletray.platform.election;

/**
 * Durations in milliseconds. A holder acts for {@code holderLeaseMs} from the sending of what a majority granted; the
 * voters refuse others for {@code voterLeaseMs} from receiving it, which is later and longer: so the old holder has
 * stopped before a new one begins, by steady clocks that run alike.
 *
 * @param renewIntervalMs between renewals
 * @param holderLeaseMs how long the holder acts on a renewal
 * @param voterLeaseMs how long voters refuse others
 * @param maxTickDelayMs lateness of its own tick after which a holder stops acting until the next renewal
 * @param rankDelayMs between candidates of neighbouring rank
 */
public record LeaseTimings(
        int renewIntervalMs, int holderLeaseMs, int voterLeaseMs, int maxTickDelayMs, int rankDelayMs) {
    /** The defaults. */
    public static LeaseTimings defaults() {
        return new LeaseTimings(200, 800, 1200, 400, 250);
    }
}
