package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.List;

/** Messages between core members about the lease on a role. */
public sealed interface ElectionMessage {
    /** All messages, for registration with the codec; {@link Member} is registered by the replication package. */
    List<Class<?>> TYPES = List.of(
            LeaseRequest.class,
            LeaseGranted.class,
            LeaseDenied.class,
            RenewRequest.class,
            RenewGranted.class,
            LeaseReleased.class);

    /** The role whose lease the message is about. */
    String role();

    /**
     * A candidate requests the lease under its term; a {@code probe} only asks whether it would be granted. {@code
     * previouslyHeldInView}: number of the last view in which this member held the lease before its process restarted;
     * 0 for none.
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
     * The voter grants the request, and has written the grant to disk before sending this; for a probe: it would grant
     * it. {@code viewDescends}: any lease granted to others since {@code previouslyHeldInView} is known to a member of
     * this view ({@link ElectionView#descendsFrom}).
     */
    record LeaseGranted(
            String role, boolean probe, long term, long sequence, long voterIncarnation, boolean viewDescends)
            implements ElectionMessage {}

    /**
     * The lease was neither granted nor renewed, because a higher term was granted, or because the lease of another
     * member is valid for {@code remainingMs} more.
     */
    record LeaseDenied(String role, long term, long grantedTerm, int remainingMs, long voterIncarnation)
            implements ElectionMessage {}

    /** The holder asks for its lease to be renewed. */
    record RenewRequest(String role, long viewNumber, long term, long sequence, Member holder)
            implements ElectionMessage {}

    /** The voter has renewed the lease. */
    record RenewGranted(String role, long term, long sequence, long voterIncarnation) implements ElectionMessage {}

    /**
     * The holder has stopped acting, or a candidate has withdrawn its request ({@code successorIncarnation} is 0 then).
     * The successor may request the lease at once.
     */
    record LeaseReleased(String role, long term, long holderIncarnation, long successorIncarnation)
            implements ElectionMessage {}
}
