package brambletray.platform.replication;

import java.util.List;

/**
 * Messages between members of the replicated control plane. {@code viewBallot} is the ballot of the sender's view; a
 * receiver in another view ignores the message or responds with {@link NotMember}.
 */
public sealed interface ReplicationMessage {
    /** All message types, for registration with the codec, preceded by the records nested in them. */
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
     * Sent by the leader every {@link ReplicationSettings#heartbeatIntervalMs}: its commit index, whether the view is
     * active, and whether its own disk is unhealthy.
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
     * Response to a heartbeat, with this member's durable index. A higher promised ballot means that this member
     * acknowledges nothing more in this view.
     */
    record HeartbeatResponse(
            Ballot viewBallot,
            long incarnation,
            long sequence,
            long durableIndex,
            Ballot promisedBallot,
            boolean diskUnhealthy)
            implements ReplicationMessage {}

    /** Sent by the leader: the entries after an index; without entries it only announces the commit index. */
    record AppendRequest(
            Ballot viewBallot, long previousIndex, Ballot previousView, List<LogEntry> entries, long commitIndex)
            implements ReplicationMessage {}

    /** Response to an append request: everything up to this index is on this member's disk. */
    record AppendResponse(Ballot viewBallot, long incarnation, long durableIndex) implements ReplicationMessage {}

    /**
     * Starts a view change: asks the receiver to promise the ballot, to stop working in lower ones and to report its
     * state. Carries the incarnations that the proposer knows to be retired.
     */
    record PrepareRequest(Ballot ballot, Member proposer, List<Long> retiredIncarnations)
            implements ReplicationMessage {}

    /** Promises the ballot and reports the state of this member. */
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

    /** Rejects a ballot, because a higher one has been promised or the leader is healthy. */
    record BallotRejected(Ballot ballot, Ballot promisedBallot, boolean leaderIsHealthy)
            implements ReplicationMessage {}

    /** A new view with the patch for the receiver's log. */
    record InstallViewRequest(View view, LogPatch patch) implements ReplicationMessage {}

    /**
     * A new view whose patch is too large for a message: the receiver fetches the log with this last entry in chunks.
     */
    record InstallViewOffer(View view, long lastIndex, Ballot lastView) implements ReplicationMessage {}

    /** View and log are on this member's disk. */
    record InstallViewResponse(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** The patch does not match this member's log, or lacks committed entries. */
    record PatchMismatch(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** An active view of which the receiver is not a member. */
    record NotMember(View view) implements ReplicationMessage {}

    /** Request of a machine outside the view to join, with the end of the log that it has fetched so far. */
    record JoinRequest(Member requester, Ballot viewBallot, long lastIndex, Ballot lastView, long commitIndex)
            implements ReplicationMessage {}

    /**
     * Response to a join request: the active view, and whether the requester's log is complete enough to be admitted.
     */
    record JoinResponse(View view, boolean caughtUp) implements ReplicationMessage {}

    /** Response to a join request from a machine that is outside the view itself: the addresses it knows. */
    record KnownMembers(List<String> addresses) implements ReplicationMessage {}

    /** Asks which incarnation currently runs at the receiver's address. */
    record IdentityRequest(long nonce) implements ReplicationMessage {}

    /** Reports the incarnation that runs at this address. */
    record IdentityResponse(long nonce, Member responder) implements ReplicationMessage {}

    /**
     * Requests a chunk of the patch for the sender's log, whose end the request describes. {@code viewBallot} is the
     * view being installed whose log is fetched, or {@link Ballot#NONE} for the receiver's own log. {@code transfer}
     * identifies the bytes already fetched, perhaps from another member.
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
     * A chunk; a negative total means that the log cannot be served here. A chunk of another transfer at offset 0
     * restarts the transfer.
     */
    record FetchChunkResponse(long transferId, int offset, int totalBytes, byte[] bytes, TransferDescriptor transfer)
            implements ReplicationMessage {}

    /** Announces the planned shutdown of a member, which is to be excluded from the view. */
    record LeaveRequest(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** A proposal forwarded to the leader by another member. */
    record ProposeRequest(Ballot viewBallot, long origin, long token, byte[] bytes) implements ReplicationMessage {}

    /** Asks whether this is still the receiver's view, for a read index. */
    record ReadIndexRequest(Ballot viewBallot, long sequence) implements ReplicationMessage {}

    /**
     * Confirms that this is the receiver's view. The leader adds its commit index and whether everything that earlier
     * views committed is committed.
     */
    record ReadIndexResponse(Ballot viewBallot, long incarnation, long sequence, long commitIndex, boolean settled)
            implements ReplicationMessage {}
}
