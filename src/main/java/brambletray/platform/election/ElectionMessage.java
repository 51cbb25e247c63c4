package brambletray.platform.election;

import brambletray.platform.replication.Member;

/** What members of the core say to one another about a duty. */
public sealed interface ElectionMessage {
    /** Name of the duty. */
    String role();

    /**
     * A candidate asks for its term; with {@code probe} only whether it would be granted. {@code heldIn}: the last view
     * in which its former process held
     * the duty, 0 for none.
     */
    record LeaseRequest(
            String role,
            boolean probe,
            long viewNumber,
            long term,
            long sequence,
            Member candidate,
            long previouslyHeldInView)
            implements ElectionMessage {}

    /**
     * Granted (kept before it is said), or would be. {@code descends}: this voter knows that no lease of others since
     * {@code heldIn} is unheard of.
     */
    record LeaseGranted(
            String role, boolean probe, long term, long sequence, long voterIncarnation, boolean viewDescends)
            implements ElectionMessage {}

    /** Not granted or not renewed: a higher term was granted, or the lease of another runs for so long. */
    record LeaseDenied(String role, long term, long grantedTerm, int remainingMs, long voterIncarnation)
            implements ElectionMessage {}

    /** The holder renews its lease. */
    record RenewRequest(String role, long viewNumber, long term, long sequence, Member holder)
            implements ElectionMessage {}

    /** Renewed. */
    record RenewGranted(String role, long term, long sequence, long voterIncarnation) implements ElectionMessage {}

    /** The holder has stopped acting, or a candidate has given up (next is 0 then); the next one may stand at once. */
    record LeaseReleased(String role, long term, long holderIncarnation, long successorIncarnation)
            implements ElectionMessage {}
}
