/**
 * Replication of the core: one log, committed on all members of a view, and view changes (Viewstamped Replication;
 * ballots, prepare and install as in Vertical Paxos). Pure: {@link brambletray.platform.replication.Replica} reads no
 * clock, socket, disk or random source.
 *
 * <h2>In a view</h2>
 *
 * A view has a {@link brambletray.platform.replication.Ballot}, members with an incarnation each, and a leader: the
 * member that proposed it. The leader assigns indices, writes each entry to its own disk and sends it to all members at
 * once; each writes it and acknowledges. An entry is <em>committed</em> once all members of the view have it on disk
 * and
 * these tolerate the losses that the settings name. Only then it is applied and acknowledged to the caller. A view is
 * <em>active</em> once all its members have it on disk, with the log that it begins with; the leader is the last to
 * write it, and announces it.
 *
 * <h2>View change</h2>
 *
 * A member that starts one picks a ballot above all that it has seen and asks all members of its last view to
 * prepare. A
 * member that prepares promises (on disk, before it answers) to acknowledge nothing under a lower ballot, and answers
 * with its last view, the end of its log, and the incarnations that it knows to be retired. The reported view with the
 * highest ballot is the <em>latest view</em>; its members are asked too. Enough have answered when there is a
 * {@link brambletray.platform.replication.Quorum} of the latest view and, unless somebody knows that it is active, of
 * each view that it came from, back to the last that is known to be active (a view carries these with it:
 * {@link brambletray.platform.replication.View#predecessors}). Among the members whose last view is the latest view,
 * the
 * longest log is taken, and fetched if it is another member's. The members of the new view are those that answered
 * (without the unhealthy ones, while the rest is enough by the same rule) and newcomers that have the state.
 *
 * <h2>Why no committed entry is lost</h2>
 *
 * <ol>
 *   <li><em>Nothing more is committed in a view once a quorum of it has promised a higher ballot</em>: all its
 *       members would have to acknowledge, and one that has promised does not.
 *   <li><em>Every later view has it.</em> An entry committed in view {@code w} is on the disk of all members of
 *       {@code w}. A view proposed with {@code w} as its latest view takes the longest log among members of {@code w},
 *       and within {@code w} every log is a prefix of the leader's: so it has the entry. By induction so has every
 *       view that descends from {@code w}.
 *   <li><em>Every view proposed above an active view descends from it.</em> Let {@code w} be active and {@code u}
 *       be proposed with a higher ballot, and assume the same for all between. If the latest view of {@code u} is
 *       {@code w} or lies above it, {@code u} descends from {@code w}. Else it lies below; let {@code w} be the lowest
 *       active view above it. Going down from {@code w} and from the latest view of {@code u}, both proposals have
 *       consulted quorums of every view back to one that was known to be active; by the choice of {@code w} the two
 *       chains share an active view, {@code s}. Any two quorums of {@code s} share a member that still has its disk
 *       (see {@link brambletray.platform.replication.Quorum}). That member answered for {@code w} and, {@code w} being
 *       active, has it on disk; it can only have written it before it promised the higher ballot of {@code u}; so it
 *       reported {@code w} or a higher view to the proposer of {@code u}, whose latest view is not below {@code w}.
 *       Contradiction.
 * </ol>
 *
 * A member promises only ballots whose number is above that of its last view, so of two active views the later one has
 * the higher number, and no two have the same.
 *
 * <h2>Retired incarnations</h2>
 *
 * An incarnation is drawn at random when a disk is found empty. A join request from a member's address under another
 * incarnation is answered by a challenge with a fresh number; the response proves that the former incarnation is gone,
 * since one process at a time runs at an address and an old message cannot contain the number. The proof is on disk
 * before it is used, and goes along with each prepare request and response. A proposer counts only incarnations that
 * all
 * members that answered knew to be retired when they did.
 *
 * <h2>Restart of all members</h2>
 *
 * Nobody leads after a start: a process never leads a view that it did not propose itself, so no index is assigned
 * twice. Each member knows from its disk its last view and whose answers that needs. A member of an older view learns
 * so
 * from members of a later active one, and asks to join. A member of an older view alone, or with wiped machines, cannot
 * go on: it lacks a quorum of its own view, or of the later one that a member reports. In a view of two, one alone goes
 * on only if the other's disk is proven lost. A view of no more members than may be lost is installed but commits
 * nothing until others have joined.
 *
 * <h2>Joining and state transfer</h2>
 *
 * A machine outside the view (an empty disk, or left out of a later view) sends join requests to all members it knows,
 * fetches the state from the leader in chunks into memory, asks again, and is let in by the next view change, which
 * writes state and view at once. A process that dies on the way leaves nothing behind. What does not fit into
 * {@link brambletray.platform.replication.LogPatch#MAX_INLINE_BYTES} never travels with a view change: a newcomer is
 * let
 * in once it lacks little, which is judged at its request, before a view change starts for it, and when the view is
 * installed. The entries before a snapshot are remembered for a while, so that a compaction does not make it start
 * again. A member that is to install a view and lacks much is offered the log and fetches it. Who has not installed a
 * view in time is left out of the next view change if the rest is enough; else the view change lasts while chunks are
 * requested, and what was fetched stays if the same log is offered again. Within a view nobody falls behind the
 * leader's
 * snapshot: it holds only committed entries, and those are on the disks of all members.
 *
 * <h2>Failure detection</h2>
 *
 * The leader sends heartbeats. A member that has not answered for {@code electionTimeoutMs}, or answers and has not
 * acknowledged for {@code ackTimeoutMs}, or reports an unhealthy disk, is left out. A member that does not hear the
 * leader, or hears that its disk is unhealthy, starts a view change after a time-out that grows with its rank. A member
 * that hears a healthy leader rejects the view changes of others, so one bad link disturbs nobody. A process whose own
 * tick came late resets its timers before it suspects anybody.
 */
package brambletray.platform.replication;
