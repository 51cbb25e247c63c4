package brambletray.platform.replication;

import java.util.List;

/**
 * Messages between members of the core. {@code viewBallot} is the ballot of the sender's view; a receiver in another
 * view ignores the message, or answers {@link NotMember}.
 */
public sealed interface ReplicationMessage {
    /** All messages, for registration with the codec; the records within them come first. */
    List<Class<?>> TYPES = List.of(
            Ballot.class,
            Member.class,
            ViewMembership.class,
            View.class,
            LogEntry.class,
            LogPatch.class,
            TransferDescriptor.class,
            HeartbeatRequest.class,
            HeartbeatResponse.class,
            AppendRequest.class,
            AppendResponse.class,
            PrepareRequest.class,
            PrepareResponse.class,
            BallotRejected.class,
            InstallViewRequest.class,
            InstallViewOffer.class,
            InstallViewResponse.class,
            PatchMismatch.class,
            NotMember.class,
            JoinRequest.class,
            JoinResponse.class,
            KnownMembers.class,
            IdentityRequest.class,
            IdentityResponse.class,
            FetchChunkRequest.class,
            FetchChunkResponse.class,
            LeaveRequest.class,
            ProposeRequest.class,
            ReadIndexRequest.class,
            ReadIndexResponse.class);

    /**
     * From the leader, every {@link ReplicationSettings#heartbeatIntervalMs}: how far it has committed, whether the
     * view is active, and whether its own disk is in trouble.
     */
    record HeartbeatRequest(
            Ballot viewBallot,
            long sequence,
            long commitIndex,
            long viewStartIndex,
            boolean active,
            boolean diskUnhealthy)
            implements ReplicationMessage {}

    /**
     * Answer to a heartbeat: what is on this member's disk. A higher promised ballot says that it has stopped in this
     * view.
     */
    record HeartbeatResponse(
            Ballot viewBallot,
            long incarnation,
            long sequence,
            long durableIndex,
            Ballot promisedBallot,
            boolean diskUnhealthy)
            implements ReplicationMessage {}

    /** From the leader: entries that follow an index; without entries it announces the commit index. */
    record AppendRequest(
            Ballot viewBallot, long previousIndex, Ballot previousView, List<LogEntry> entries, long commitIndex)
            implements ReplicationMessage {}

    /** Answer to entries: everything up to this index is on this member's disk. */
    record AppendResponse(Ballot viewBallot, long incarnation, long durableIndex) implements ReplicationMessage {}

    /**
     * A view change begins: promise its ballot, stop in lower ones, and answer with your state. The incarnations are
     * known to be retired.
     */
    record PrepareRequest(Ballot ballot, Member proposer, List<Long> retiredIncarnations)
            implements ReplicationMessage {}

    /** The ballot is promised; the state of this member. */
    record PrepareResponse(
            Ballot ballot,
            Member responder,
            View view,
            boolean active,
            long lastIndex,
            Ballot lastView,
            long commitIndex,
            boolean diskUnhealthy,
            List<Long> retiredIncarnations)
            implements ReplicationMessage {}

    /** The ballot is not promised: a higher one was, or the leader is healthy. */
    record BallotRejected(Ballot ballot, Ballot promisedBallot, boolean leaderIsHealthy)
            implements ReplicationMessage {}

    /** A new view, and what the receiver's log lacks. */
    record InstallViewRequest(View view, LogPatch patch) implements ReplicationMessage {}

    /**
     * A new view whose log is longer than a message may be: the receiver is to fetch the log with this end in chunks.
     */
    record InstallViewOffer(View view, long lastIndex, Ballot lastView) implements ReplicationMessage {}

    /** View and log are on this member's disk. */
    record InstallViewResponse(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** The patch does not fit this member's log, or it lacks committed entries. */
    record PatchMismatch(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** An active view of which the receiver is not a member. */
    record NotMember(View view) implements ReplicationMessage {}

    /** A machine outside the view asks to join; what it has fetched so far. */
    record JoinRequest(Member requester, Ballot viewBallot, long lastIndex, Ballot lastView, long commitIndex)
            implements ReplicationMessage {}

    /**
     * Answer to a join request: the active view; whether the requester is close enough to the end of the log to be
     * let in.
     */
    record JoinResponse(View view, boolean caughtUp) implements ReplicationMessage {}

    /** Answer to a join request by a member that is outside the view itself: addresses that it knows. */
    record KnownMembers(List<String> addresses) implements ReplicationMessage {}

    /** Asks which incarnation runs at the receiver's address now. */
    record IdentityRequest(long nonce) implements ReplicationMessage {}

    /** This incarnation runs here. */
    record IdentityResponse(long nonce, Member responder) implements ReplicationMessage {}

    /**
     * Asks for a chunk of what its log lacks, given what it has. {@code viewBallot}: of the view that is being
     * installed and whose log is fetched; {@link Ballot#NONE} for the receiver's own log. {@code transfer}: of what
     * was fetched already, perhaps from another member.
     */
    record FetchChunkRequest(
            long transferId,
            int offset,
            Ballot viewBallot,
            long lastIndex,
            Ballot lastView,
            long commitIndex,
            TransferDescriptor transfer)
            implements ReplicationMessage {}

    /**
     * A chunk; a total below 0 says that there is nothing to be had here. One of another transfer at offset 0 starts
     * the transfer anew.
     */
    record FetchChunkResponse(long transferId, int offset, int totalBytes, byte[] bytes, TransferDescriptor transfer)
            implements ReplicationMessage {}

    /** This member is about to end as planned: go on without it. */
    record LeaveRequest(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** A proposal that was made at a member that does not lead. */
    record ProposeRequest(Ballot viewBallot, long origin, long token, byte[] bytes) implements ReplicationMessage {}

    /** Asks whether this is still the receiver's view (read index). */
    record ReadIndexRequest(Ballot viewBallot, long sequence) implements ReplicationMessage {}

    /** It is; the leader adds its commit index, and whether everything that earlier views committed is committed. */
    record ReadIndexResponse(Ballot viewBallot, long incarnation, long sequence, long commitIndex, boolean settled)
            implements ReplicationMessage {}
}
