package brambletray.platform.replication;

import java.util.List;

/** What members say to one another. */
public sealed interface Frame {
    /** Leader: it is there; what is kept; whether the view is in force; its own trouble with the disk. */
    record Heartbeat(Ballot view, long seq, long commit, long floor, boolean inForce, boolean ill) implements Frame {}

    /** Answer to a beat: what is on this member's disk. A higher promise says that it has stopped in this view. */
    record HeartbeatAnswer(Ballot view, long life, long seq, long held, Ballot promised, boolean ill)
            implements Frame {}

    /** Leader: entries that follow a place. */
    record Append(Ballot view, long after, Ballot afterView, List<LogEntry> entries, long commit) implements Frame {}

    /** All up to this place is on this member's disk. */
    record Ack(Ballot view, long life, long index) implements Frame {}

    /** A change of view begins: stop, promise, tell. The lives are proven dead. */
    record StopRequest(Ballot ballot, Member from, List<Long> dead) implements Frame {}

    /** Promised; what this member has. */
    record StopAnswer(
            Ballot ballot,
            Member me,
            View view,
            boolean inForce,
            long end,
            Ballot endView,
            long commit,
            boolean ill,
            List<Long> dead)
            implements Frame {}

    /** Not promised: a higher promise was given, or the leader is well (calm). */
    record Refuse(Ballot ballot, Ballot promised, boolean calm) implements Frame {}

    /** The new view and what the receiver's log lacks. */
    record Install(View view, LogPatch patch) implements Frame {}

    /**
     * The same where the receiver lacks more than goes in one frame: it is to fetch the log that ends so, in pieces.
     */
    record TransferOffer(View view, long end, Ballot endView) implements Frame {}

    /** View and log are on this member's disk. */
    record Installed(Ballot view, long life) implements Frame {}

    /** The patch doesn't fit what this member has. */
    record PatchMismatch(Ballot view, long life) implements Frame {}

    /** A view in force, in which the receiver isn't. */
    record NotMember(View view) implements Frame {}

    /** Who isn't in asks to be let in; what it has in hand. */
    record JoinRequest(Member me, Ballot view, long end, Ballot endView, long commit) implements Frame {}

    /** Answer to a knock: the view in force; whether what is in hand is near enough to be let in. */
    record JoinAnswer(View view, boolean fit) implements Frame {}

    /** Answer to a knock by who isn't in itself: members that it has met. */
    record KnownMembers(List<String> addresses) implements Frame {}

    /** Which life is at your address now? */
    record IdentityRequest(long nonce) implements Frame {}

    /** This one. */
    record IdentityAnswer(long nonce, Member me) implements Frame {}

    /**
     * Asks for a piece of what its log lacks, given what it has. {@code view}: whose log, one that is being installed;
     * {@link Ballot#NONE}
     * for the receiver's own. {@code cut}: of what has come already, perhaps from another member.
     */
    record PieceRequest(long id, int offset, Ballot view, long end, Ballot endView, long commit, CutDigest cut)
            implements Frame {}

    /**
     * A piece; a total below 0 says that there is nothing to be had here. One of another cut at offset 0 begins the
     * transfer anew.
     */
    record Piece(long id, int offset, int total, byte[] bytes, CutDigest cut) implements Frame {}

    /** This member is about to end, as planned: go on without it. */
    record Leave(Ballot view, long life) implements Frame {}

    /** A proposal made at a member that doesn't lead. */
    record Submit(Ballot view, long origin, long token, byte[] bytes) implements Frame {}

    /** Is this still your view? */
    record ConfirmRequest(Ballot view, long seq) implements Frame {}

    /** It is; what is kept, and (from the leader) whether all of earlier views is. */
    record ConfirmAnswer(Ballot view, long life, long seq, long commit, boolean settled) implements Frame {}
}
