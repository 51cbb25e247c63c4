package brambletray.platform.election;

/**
 * Spans in milliseconds. A holder acts for {@code actMs} from the sending of what a majority agreed to; the others hold
 * the duty taken for {@code vacantMs} from hearing it, which is later and longer: so the old holder has stopped before
 * a new one begins, by steady clocks that run alike.
 *
 * @param renewIntervalMs   between renewals
 * @param holderLeaseMs     how long the holder acts on a renewal
 * @param voterLeaseMs  how long the others hold it taken
 * @param maxTickDelayMs   lateness of its own tick after which a holder doubts itself
 * @param rankDelayMs between candidates of neighbouring rank
 */
public record LeaseTimings(
        int renewIntervalMs, int holderLeaseMs, int voterLeaseMs, int maxTickDelayMs, int rankDelayMs) {
    /** The usual spans. */
    public static LeaseTimings defaults() {
        return new LeaseTimings(200, 800, 1200, 400, 250);
    }
}
