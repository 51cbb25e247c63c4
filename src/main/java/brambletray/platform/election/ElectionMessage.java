package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.List;

/** Messages between members of the core about the lease on a role. */
public sealed interface ElectionMessage {
    /** All messages, for registration with the codec; {@link Member} is registered by the replication package. */
    List<Class<?>> TYPES = List.of(
            LeaseRequest.class,
            LeaseGranted.class,
            LeaseDenied.class,
            RenewRequest.class,
            RenewGranted.class,
            LeaseReleased.class);

    /** Name of the role. */
    String role();

    /**
     * A candidate asks for its term; with {@code probe} only whether it would be granted. {@code
     * previouslyHeldInView}: number of the last view in which the process before held the lease, 0 for none.
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
     * Granted, on disk before it is sent, or (probe) it would be. {@code viewDescends}: this voter knows every lease
     * of others since {@code previouslyHeldInView}.
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

    /** The lease is renewed. */
    record RenewGranted(String role, long term, long sequence, long voterIncarnation) implements ElectionMessage {}

    /**
     * The holder has stopped acting, or a candidate has given up (there is no successor then, 0); the successor may
     * stand at once.
     */
    record LeaseReleased(String role, long term, long holderIncarnation, long successorIncarnation)
            implements ElectionMessage {}
}
