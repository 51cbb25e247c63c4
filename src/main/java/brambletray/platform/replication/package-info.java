/**
 * Members of the core, one order of changes, changes of view. Pure: {@link brambletray.platform.replication.Replica}
 * reads no
 * clock, socket, disk or random source.
 *
 * <h2>In a view</h2>
 * A view has a name (a {@link brambletray.platform.replication.Ballot}), members with a life each, and a leader: the
 * member that
 * proposed it. The leader gives places, keeps each change itself and sends it to all at once; each member keeps it and
 * says so. A change is <em>kept</em> once all members of the view have it on disk and these are more than the machines
 * that may be lost. Only then it is delivered, and acknowledged. A view is
 * <em>in force</em> once all its members have it on disk, with the log that it begins with; the leader is the last to
 * keep it, and tells.
 *
 * <h2>Change of view</h2>
 * A member that begins one counts a ballot above all that it has heard of and asks all members of its last view to
 * stop. Who stops promises (on disk, before it says so) to acknowledge nothing under a lower ballot, and tells its last
 * view, where its log ends, and which lives it knows to be dead. Of the views that are told the one with the highest
 * ballot counts ({@code top}); its members are asked too. Enough have answered when there is a
 * {@link brambletray.platform.replication.Quorum} of {@code top}, and, unless somebody knows that {@code top} is in
 * force, of each
 * view that it came from, back to the last that is known to be in force (a view carries these with it:
 * {@link brambletray.platform.replication.View#predecessors}). Of those whose last view is {@code top}, the longest log is
 * taken, fetched
 * if it is another's. The new view's members are those that answered (the ill left out while the rest is enough by the
 * same rule) and newcomers that have the state.
 *
 * <h2>Why nothing kept is lost</h2>
 * <ol>
 * <li><em>Nothing more is kept in a view once a quorum of it has stopped</em>: all its members would have to
 * acknowledge, and one that has promised doesn't.
 * <li><em>Every later view has it.</em> A change kept in view {@code w} is on the disk of all members of {@code w}. A
 * view proposed with {@code w} as its
 * {@code top} takes the longest log among members of {@code w}, and within {@code w} every log is a prefix of the
 * leader's: so it has the change. By induction so has every view that descends from {@code w}.
 * <li><em>Every view proposed above a view in force descends from it.</em> Let {@code w} be in force and {@code u} be
 * proposed with a higher ballot, and let this hold for all between. If {@code u}'s {@code top} is {@code w} or lies
 * above it, it descends from {@code w}. Else {@code top} lies below; let {@code w} be the lowest view in force above
 * {@code top}. Going down from {@code w} and from {@code top}, both proposals have asked quorums of every view back to
 * one that was known to be in force; by the choice of {@code w} the two chains share a view in force, {@code s}. Any
 * two quorums of {@code s} share a member that still has its disk (see {@link
 * brambletray.platform.replication.Quorum}). That
 * member answered for {@code w} and, {@code w} being in force, has kept it; it can only have done so before it promised
 * {@code u}'s higher ballot; so it told {@code u}'s proposer of {@code w} or of a higher one, and {@code top} isn't
 * below. Contradiction.
 * </ol>
 * Numbers: a member promises only ballots whose number is above its last view's, so of two views in force the later has
 * the higher number, and no two have the same.
 *
 * <h2>Dead lives</h2>
 * A life is drawn when a disk is found empty. A knock from an address of ours under another life is answered by a
 * question with a fresh number; the answer to it proves that the former life is gone, since the address is run by one
 * process at a time and an old frame can't know the number. The proof is kept before it is used, and goes along with
 * each Stop and Told. A proposer counts only deaths that all who answered knew of when they did.
 *
 * <h2>Restart of all</h2>
 * Nobody leads after a start: a process never leads a view that it didn't propose itself, so no place is given twice.
 * Each member knows from its disk its last view and whose answers that needs. Who is of an older view is told so by
 * members of a later one in force, and knocks. A member of an older view alone, or with wiped machines, can't go on: it
 * lacks a quorum of its own view, or of the later one that a member tells of. Who must be heard: a majority of the last
 * view; or all of it but proven dead ones that are fewer than a majority. In a view of two, one alone goes on only if
 * the other's disk is proven lost. A view of no more members than may be lost is installed but keeps nothing until
 * others have been let in.
 *
 * <h2>Knocking</h2>
 * Who isn't in (an empty disk, or left out of a later view) knocks at all it knows, gets the state from the leader in
 * pieces into memory, knocks again, and is let in by the next change of view, which writes state and view at once. A
 * process that dies on the way leaves nothing behind.
 *
 * <h2>State transfer</h2>
 * What doesn't fit in {@link brambletray.platform.replication.LogPatch#MAX_INLINE_BYTES} never rides on a change of view. Who
 * isn't in is a
 * learner: it pulls a cut from the leader in pieces, the state as it is where that is less than the snapshot and the
 * entries behind it, and is let in once it lacks little; that is judged when it knocks, before a change begins for it,
 * and when the view is installed. The entries before a snapshot are remembered for a while, so a compaction doesn't
 * make it begin anew. A member that is asked to keep a view and lacks much is offered the log and pulls it. Who hasn't
 * kept a view in time is left out of the next attempt if the rest is enough; else the attempt lasts while pieces are
 * asked for, the one that fetches begins none of its own, and what has come stays if the same log is offered anew.
 * Within a view nobody falls behind the leader's snapshot: it has only what is delivered, and that is on the disks of
 * all.
 *
 * <h2>Suspicion</h2>
 * The leader beats; who hasn't answered for {@code silentMs}, or is there and hasn't acknowledged for {@code ackMs}, or
 * calls itself ill, is left out. Who doesn't hear the leader (or hears that it is ill) begins a change after a patience
 * that grows with its rank. A member that hears the leader well refuses others' changes, so a lame link of one disturbs
 * nobody. A process whose own tick came late forgets all suspicion first.
 */
package brambletray.platform.replication;
