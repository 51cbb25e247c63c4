package brambletray.platform.election;

import brambletray.platform.replication.Member;

/** What members of the core say to one another about a duty. */
public sealed interface ElectionMessages {
    /** Name of the duty. */
    String duty();

    /**
     * A candidate asks for its term; with {@code probe} only whether it would be granted. {@code heldIn}: the last view
     * in which its former process held
     * the duty, 0 for none.
     */
    record Plea(String duty, boolean probe, long view, long term, long seq, Member from, long heldIn)
            implements ElectionMessages {}

    /**
     * Granted (kept before it is said), or would be. {@code descends}: this voter knows that no lease of others since
     * {@code heldIn} is unheard of.
     */
    record Grant(String duty, boolean probe, long term, long seq, long life, boolean descends)
            implements ElectionMessages {}

    /** Not granted or not renewed: a higher term was granted, or the lease of another runs for so long. */
    record Deny(String duty, long term, long granted, int remainingMs, long life) implements ElectionMessages {}

    /** The holder renews its lease. */
    record Renew(String duty, long view, long term, long seq, Member from) implements ElectionMessages {}

    /** Renewed. */
    record Agree(String duty, long term, long seq, long life) implements ElectionMessages {}

    /** The holder has stopped acting, or a candidate has given up (next is 0 then); the next one may stand at once. */
    record Vacate(String duty, long term, long life, long next) implements ElectionMessages {}
}
