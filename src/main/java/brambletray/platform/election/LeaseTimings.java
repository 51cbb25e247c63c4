package brambletray.platform.election;

/**
 * Spans in milliseconds. A holder acts for {@code actMs} from the sending of what a majority agreed to; the others hold
 * the duty taken for {@code vacantMs} from hearing it, which is later and longer: so the old holder has stopped before
 * a new one begins, by steady clocks that run alike.
 *
 * @param renewMs   between renewals
 * @param actMs     how long the holder acts on a renewal
 * @param vacantMs  how long the others hold it taken
 * @param sleepMs   lateness of its own tick after which a holder doubts itself
 * @param staggerMs between candidates of neighbouring rank
 */
public record LeaseTimings(int renewMs, int actMs, int vacantMs, int sleepMs, int staggerMs) {
    /** The usual spans. */
    public static LeaseTimings usual() {
        return new LeaseTimings(200, 800, 1200, 400, 250);
    }
}
