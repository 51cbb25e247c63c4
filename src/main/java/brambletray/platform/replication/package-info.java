/**
 * Replication of the core: a single log that is committed on all members of a view, and view changes (Viewstamped
 * Replication; ballots, prepare and install as in Vertical Paxos). {@link brambletray.platform.replication.Replica}
 * does no I/O: it reads no clock, socket, disk or random source.
 *
 * <h2>In a view</h2>
 *
 * A view has a {@link brambletray.platform.replication.Ballot}, members with one incarnation each, and a leader: the
 * member that proposed it. The leader assigns indices, writes each entry to its own disk and sends it to all members in
 * parallel; each member writes it and acknowledges it. An entry is <em>committed</em> once all members of the view have
 * it on disk, provided that these members tolerate the losses configured in the settings. Only then is it applied and
 * acknowledged to the caller. A view is <em>active</em> once all its members have it on disk, together with the log
 * that it starts with; the leader is the last to write it, and announces it.
 *
 * <h2>View change</h2>
 *
 * A member that starts a view change picks a ballot higher than all that it has seen, and sends prepare requests to all
 * members of its last view. A member that prepares promises (on disk, before it answers) not to acknowledge anything
 * under a lower ballot. Its answer contains its last view, the end of its log, and the incarnations that it knows to be
 * retired. The reported view with the highest ballot is the <em>latest view</em>; its members are contacted too. The
 * answers suffice when they contain a {@link brambletray.platform.replication.Quorum} of the latest view and, unless a
 * responder knows that view to be active, of each of its predecessors back to the last one that is known to be active
 * (a view carries its predecessors: {@link brambletray.platform.replication.View#predecessors}). Among the members
 * whose last view is the latest view, the longest log is chosen, and fetched if another member has it. The members of
 * the new view are the responders (without the unhealthy ones if the others suffice by the same rule) and newcomers
 * that have the state.
 *
 * <h2>Why no committed entry is lost</h2>
 *
 * <ol>
 *   <li><em>Nothing more is committed in a view once a quorum of it has promised a higher ballot</em>: all its members
 *       would have to acknowledge the entry, and a member that has promised does not.
 *   <li><em>Every later view contains the entry.</em> An entry committed in view {@code w} is on the disks of all
 *       members of {@code w}. A view proposed with {@code w} as its latest view takes the longest log among members of
 *       {@code w}, and within {@code w} every log is a prefix of the leader's: so it contains the entry. By induction,
 *       so does every view that descends from {@code w}.
 *   <li><em>Every view proposed above an active view descends from it.</em> Let {@code w} be active and {@code u} be
 *       proposed with a higher ballot, and assume the claim for all views between them. If the latest view of {@code u}
 *       is {@code w} or above it, {@code u} descends from {@code w}. Otherwise it is below; let {@code w} be the lowest
 *       active view above it. Going down from {@code w} and from the latest view of {@code u}, both proposals have
 *       consulted quorums of every view back to one that was known to be active; by the choice of {@code w} the two
 *       chains share an active view {@code s}. Any two quorums of {@code s} share a member that still has its disk (see
 *       {@link brambletray.platform.replication.Quorum}). That member answered for {@code w} and, {@code w} being
 *       active, has it on disk; it can only have written it before it promised the higher ballot of {@code u}; so it
 *       reported {@code w} or a higher view to the proposer of {@code u}, whose latest view is therefore not below
 *       {@code w}. Contradiction.
 * </ol>
 *
 * A member promises only ballots whose number is above that of its last view. Therefore, of two active views the later
 * one has the higher number, and no two have the same number.
 *
 * <h2>Retired incarnations</h2>
 *
 * An incarnation is drawn at random when a disk is found to be empty. A join request from a member's address with a
 * different incarnation is answered with a challenge that contains a nonce. The response proves that the previous
 * incarnation is gone, because only one process at a time runs at an address and an old message cannot contain the
 * nonce. The proof is written to disk before it is used, and is included in each prepare request and response. A
 * proposer counts only incarnations that every responder knew to be retired when it answered.
 *
 * <h2>Restart of all members</h2>
 *
 * After a start there is no leader: a process never leads a view that it did not propose itself, so no index is
 * assigned twice. Each member knows from its disk its last view and whose answers are needed for a new one. A member of
 * an older view learns about the later active view from its members, and asks to join. Members of an older view on
 * their own, or with wiped machines, cannot form a new view: they lack a quorum of their own view, or of the later view
 * that a member reports. In a view of two, one member continues alone only if the other's disk is proven lost. A view
 * with no more members than may be lost is installed, but commits nothing until others have joined.
 *
 * <h2>Joining and state transfer</h2>
 *
 * A machine outside the view (with an empty disk, or excluded from a later view) sends join requests to all members it
 * knows, fetches the state from the leader in chunks into memory, asks again, and is admitted by the next view change,
 * which writes state and view in one step. A process that is killed during the transfer leaves no partial state behind.
 * Data that exceeds {@link brambletray.platform.replication.LogPatch#MAX_INLINE_BYTES} is never sent as part of a view
 * change: a newcomer is admitted once it is nearly caught up, which is checked on its request, before a view change
 * starts for it, and when the view is installed. The entries before a snapshot are retained for a while, so that a
 * compaction does not make the newcomer start again. A member that is to install a view and lacks much of its log is
 * offered the log and fetches it. A member that has not installed a view in time is excluded from the next view change
 * if the others suffice; otherwise the view change lasts as long as chunks are requested, and what was fetched is kept
 * if the same log is offered again. Within a view no member falls behind the leader's snapshot: it covers only
 * committed entries, and those are on the disks of all members.
 *
 * <h2>Failure detection</h2>
 *
 * The leader sends heartbeats. A member is excluded if it has not answered for {@code electionTimeoutMs}, answers but
 * has not acknowledged entries for {@code ackTimeoutMs}, or reports an unhealthy disk. A member that does not hear from
 * the leader, or hears that the leader's disk is unhealthy, starts a view change after a time-out that grows with its
 * rank. A member that hears from a healthy leader rejects the view changes of others, so a single bad link does not
 * disrupt the view. A process whose own tick came late resets its timers before it suspects any member.
 */
package brambletray.platform.replication;
