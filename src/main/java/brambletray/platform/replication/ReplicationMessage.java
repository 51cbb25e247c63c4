package brambletray.platform.replication;

import java.util.List;

/** What members say to one another. */
public sealed interface ReplicationMessage {
    /** Leader: it is there; what is kept; whether the view is in force; its own trouble with the disk. */
    record HeartbeatRequest(
            Ballot viewBallot,
            long sequence,
            long commitIndex,
            long viewStartIndex,
            boolean active,
            boolean diskUnhealthy)
            implements ReplicationMessage {}

    /** Answer to a beat: what is on this member's disk. A higher promise says that it has stopped in this view. */
    record HeartbeatResponse(
            Ballot viewBallot,
            long incarnation,
            long sequence,
            long durableIndex,
            Ballot promisedBallot,
            boolean diskUnhealthy)
            implements ReplicationMessage {}

    /** Leader: entries that follow a place. */
    record AppendRequest(
            Ballot viewBallot, long previousIndex, Ballot previousView, List<LogEntry> entries, long commitIndex)
            implements ReplicationMessage {}

    /** All up to this place is on this member's disk. */
    record AppendResponse(Ballot viewBallot, long incarnation, long durableIndex) implements ReplicationMessage {}

    /** A change of view begins: stop, promise, tell. The lives are proven dead. */
    record PrepareRequest(Ballot ballot, Member proposer, List<Long> retiredIncarnations)
            implements ReplicationMessage {}

    /** Promised; what this member has. */
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

    /** Not promised: a higher promise was given, or the leader is well (calm). */
    record BallotRejected(Ballot ballot, Ballot promisedBallot, boolean leaderIsHealthy)
            implements ReplicationMessage {}

    /** The new view and what the receiver's log lacks. */
    record InstallViewRequest(View view, LogPatch patch) implements ReplicationMessage {}

    /**
     * The same where the receiver lacks more than goes in one frame: it is to fetch the log that ends so, in pieces.
     */
    record InstallViewOffer(View view, long lastIndex, Ballot lastView) implements ReplicationMessage {}

    /** View and log are on this member's disk. */
    record InstallViewResponse(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** The patch doesn't fit what this member has. */
    record PatchMismatch(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** A view in force, in which the receiver isn't. */
    record NotMember(View view) implements ReplicationMessage {}

    /** Who isn't in asks to be let in; what it has in hand. */
    record JoinRequest(Member requester, Ballot viewBallot, long lastIndex, Ballot lastView, long commitIndex)
            implements ReplicationMessage {}

    /** Answer to a knock: the view in force; whether what is in hand is near enough to be let in. */
    record JoinResponse(View view, boolean caughtUp) implements ReplicationMessage {}

    /** Answer to a knock by who isn't in itself: members that it has met. */
    record KnownMembers(List<String> addresses) implements ReplicationMessage {}

    /** Which life is at your address now? */
    record IdentityRequest(long nonce) implements ReplicationMessage {}

    /** This one. */
    record IdentityResponse(long nonce, Member responder) implements ReplicationMessage {}

    /**
     * Asks for a piece of what its log lacks, given what it has. {@code view}: whose log, one that is being installed;
     * {@link Ballot#NONE}
     * for the receiver's own. {@code cut}: of what has come already, perhaps from another member.
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
     * A piece; a total below 0 says that there is nothing to be had here. One of another cut at offset 0 begins the
     * transfer anew.
     */
    record FetchChunkResponse(long transferId, int offset, int totalBytes, byte[] bytes, TransferDescriptor transfer)
            implements ReplicationMessage {}

    /** This member is about to end, as planned: go on without it. */
    record LeaveRequest(Ballot viewBallot, long incarnation) implements ReplicationMessage {}

    /** A proposal made at a member that doesn't lead. */
    record ProposeRequest(Ballot viewBallot, long origin, long token, byte[] bytes) implements ReplicationMessage {}

    /** Is this still your view? */
    record ReadIndexRequest(Ballot viewBallot, long sequence) implements ReplicationMessage {}

    /** It is; what is kept, and (from the leader) whether all of earlier views is. */
    record ReadIndexResponse(Ballot viewBallot, long incarnation, long sequence, long commitIndex, boolean settled)
            implements ReplicationMessage {}
}
