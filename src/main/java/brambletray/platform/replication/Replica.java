package brambletray.platform.replication;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One member of the core. Owns its role and every transition: follower, leader ({@link LeaderState}), in a view change
 * that it has started ({@link ViewChange}), or outside the view ({@link JoinRequester}). At most one of leader and
 * installing view change is set; a higher promise ends both ({@link #abandonLeadership}).
 *
 * <p>Pure: time, messages and completed syncs come in, {@link ReplicationActions} says what is to be done. One thread
 * only. The package comment says why nothing that was acknowledged is lost.
 */
public final class Replica {
    /** All messages, for registration with the codec; the records within them come first. */
    public static final List<Class<?>> MESSAGES = List.of(
            Ballot.class,
            Member.class,
            ViewMembership.class,
            View.class,
            LogEntry.class,
            LogPatch.class,
            TransferDescriptor.class,
            ReplicationMessage.HeartbeatRequest.class,
            ReplicationMessage.HeartbeatResponse.class,
            ReplicationMessage.AppendRequest.class,
            ReplicationMessage.AppendResponse.class,
            ReplicationMessage.PrepareRequest.class,
            ReplicationMessage.PrepareResponse.class,
            ReplicationMessage.BallotRejected.class,
            ReplicationMessage.InstallViewRequest.class,
            ReplicationMessage.InstallViewOffer.class,
            ReplicationMessage.InstallViewResponse.class,
            ReplicationMessage.PatchMismatch.class,
            ReplicationMessage.NotMember.class,
            ReplicationMessage.JoinRequest.class,
            ReplicationMessage.JoinResponse.class,
            ReplicationMessage.KnownMembers.class,
            ReplicationMessage.IdentityRequest.class,
            ReplicationMessage.IdentityResponse.class,
            ReplicationMessage.FetchChunkRequest.class,
            ReplicationMessage.FetchChunkResponse.class,
            ReplicationMessage.LeaveRequest.class,
            ReplicationMessage.ProposeRequest.class,
            ReplicationMessage.ReadIndexRequest.class,
            ReplicationMessage.ReadIndexResponse.class);

    private final ReplicaState state;
    private final LeaderMonitor leaderMonitor;
    private final FollowerState follower;
    private final ViewInstaller viewInstaller;
    private final JoinRequester joinRequester;
    private final JoinAdmission joinAdmission;
    private final PendingProposals pendingProposals;
    private final ReadIndex readIndex;
    private final MemberRemovalOrders memberRemovalOrders;
    private final ViewChangeInitiator viewChangeInitiator;
    private final MessageDispatcher messageDispatcher;
    private List<String> seeds;
    private boolean incarnationIsDurable;
    private LeaderState leader;
    private ViewChange viewChange;
    private PlannedLeave plannedLeave;
    private long lastTickAtMs;

    /**
     * Starts a member from its disk; it sends nothing before its incarnation is synced.
     *
     * @param stored what the disk holds
     * @param nowMs  steady clock
     */
    public Replica(
            ReplicaConfig config,
            DurableState stored,
            ReplicationActions actions,
            StateMachine stateMachine,
            long nowMs) {
        state = new ReplicaState(config, stored, actions, stateMachine, new ProposalTracker(), nowMs);
        lastTickAtMs = nowMs;
        seeds = config.seeds();
        boolean founder = bootstrap(config, stored);
        leaderMonitor = new LeaderMonitor(state);
        follower = new FollowerState(state, this, leaderMonitor);
        viewInstaller = new ViewInstaller(state, this, leaderMonitor);
        joinRequester = new JoinRequester(state, this, leaderMonitor);
        joinAdmission = new JoinAdmission(state, this);
        pendingProposals = new PendingProposals(state, this);
        readIndex = new ReadIndex(state, this);
        memberRemovalOrders = new MemberRemovalOrders(state, this);
        viewChangeInitiator = new ViewChangeInitiator(state, this, leaderMonitor, joinAdmission);
        messageDispatcher =
                new MessageDispatcher(state, this, follower, viewInstaller, joinRequester, joinAdmission, readIndex);
        state.writeAheadQueue().onSynced(() -> incarnationIsDurable = true);
        actions.log(new ReplicationEvent.Started(
                Long.toHexString(state.self().incarnation()),
                stored.isEmpty(),
                founder,
                state.viewName(),
                state.log().lastIndex()));
        state.writeAheadQueue().flush(nowMs);
    }

    /** Writes the identity of an empty disk, and begins from the list of seeds; whether this member is a founder. */
    private boolean bootstrap(ReplicaConfig config, DurableState stored) {
        List<String> founders = stored.seeds();
        if (stored.isEmpty()) {
            byte[] incarnation = ReplicationCodec.write(out -> out.writeLong(config.newIncarnation()));
            state.writeAheadQueue().put(DurableState.INCARNATION_KEY, incarnation, state.nowMs());
            if (config.initialStart() && seeds.contains(config.address())) {
                founders = seeds;
                state.writeAheadQueue().put(DurableState.SEEDS_KEY, ReplicationCodec.strings(founders), state.nowMs());
            }
        }
        if (state.view() == null && !founders.isEmpty()) {
            state.membership().foundFrom(founders);
        }
        return !founders.isEmpty();
    }

    private final class ProposalTracker implements AppliedEntryListener {
        @Override
        public void onApplied(LogEntry entry) {
            pendingProposals.onApplied(entry);
        }

        @Override
        public void onSnapshotInstalled() {
            pendingProposals.onSnapshotInstalled();
        }
    }

    /** The settings or the seeds have changed (SIGHUP). */
    public void updateSettings(ReplicationSettings settings, List<String> newSeeds) {
        state.updateSettings(settings);
        seeds = List.copyOf(newSeeds);
    }

    /** To be called every 25 to 50 ms; after a much later call this member suspects itself before others. */
    public void tick(long nowMs) {
        advanceTime(nowMs);
        lastTickAtMs = nowMs;
        if (incarnationIsDurable) {
            if (leader != null) {
                leader.tick();
            }
            if (viewChange != null) {
                viewChange.tick();
            }
            viewChangeInitiator.tick();
            maybeRequestJoin();
            messageDispatcher.tick();
            pendingProposals.tick();
            readIndex.advance();
            memberRemovalOrders.tick();
        }
        flush();
    }

    /** Each entry point begins with this: a process that was paused forgets all suspicion first. */
    private void advanceTime(long nowMs) {
        state.advanceTo(nowMs);
        long sinceTickMs = state.nowMs() - lastTickAtMs;
        if (sinceTickMs <= state.settings().maxTickDelayMs()) {
            return;
        }
        state.actions().log(new ReplicationEvent.ProcessPaused(sinceTickMs));
        lastTickAtMs = state.nowMs();
        leaderMonitor.resetTimers();
        if (leader != null) {
            leader.resetTimers();
        }
        if (viewChange != null && viewChange.isPreparing()) {
            viewChange = null;
        }
    }

    /** Each entry point ends with this: sends and writes what it brought about. */
    private void flush() {
        if (plannedLeave != null && incarnationIsDurable) {
            plannedLeave.tick();
        }
        if (leader != null) {
            leader.announceCommit();
        }
        state.writeAheadQueue().flush(state.nowMs());
    }

    /** A message has come from the member at this control-plane address; other kinds of objects are ignored. */
    public void receive(String from, Object frame, long nowMs) {
        advanceTime(nowMs);
        memberRemovalOrders.onMessage(from);
        if (incarnationIsDurable && frame instanceof ReplicationMessage message) {
            messageDispatcher.dispatch(from, message);
        }
        flush();
    }

    /**
     * An operator says that the machine of this member is gone for good, with its disk, and will never answer again.
     * That is the operator's word and no proof: it must not be given on both sides of a partition.
     *
     * @param incarnation as {@link ReplicaStatus#members} has it
     * @param onOutcome   called now or within a few seconds; may not call back into this object before it returns
     */
    public void removeMember(String address, long incarnation, long nowMs, Consumer<MemberRemovalOutcome> onOutcome) {
        advanceTime(nowMs);
        memberRemovalOrders.request(address, incarnation, onOutcome);
        flush();
    }

    /** The batch of this ticket is on the disk. */
    public void synced(long ticket, long nowMs) {
        advanceTime(nowMs);
        state.writeAheadQueue().synced(ticket);
        flush();
    }

    /**
     * The batch of this ticket could not be written; whether any of it is on the disk is not known. It is tried again.
     */
    public void syncFailed(long ticket, long nowMs) {
        advanceTime(nowMs);
        if (!state.writeAheadQueue().isFailing()) {
            state.actions().log(new ReplicationEvent.WriteFailed(ticket));
        }
        state.writeAheadQueue().failed(ticket, state.nowMs());
        flush();
    }

    /** A connection to this address was refused or reset: a hint that only counts together with a time-out. */
    public void onDisconnected(String address, long nowMs) {
        advanceTime(nowMs);
        leaderMonitor.onDisconnected(address);
        if (leader != null) {
            leader.onDisconnected(address);
        }
        flush();
    }

    /**
     * Proposes a change; its outcome comes through {@link ReplicationActions#proposalCompleted}.
     *
     * @param token used once by a process
     */
    public void propose(long token, byte[] bytes, long nowMs) {
        advanceTime(nowMs);
        pendingProposals.propose(token, bytes);
        flush();
    }

    /**
     * Asks whether what has been applied here includes everything that was acknowledged until now; the answer comes
     * through {@link ReplicationActions#readIndexCompleted}.
     */
    public void requestReadIndex(long token, long nowMs) {
        advanceTime(nowMs);
        readIndex.confirm(token);
        flush();
    }

    /**
     * This process is about to end as planned (SIGTERM): another member leads and the view changes without this one,
     * which does not join again. {@link #mayTerminate} says when the process may end.
     */
    public void leave(long nowMs) {
        advanceTime(nowMs);
        if (plannedLeave == null) {
            state.startLeaving();
            plannedLeave = new PlannedLeave(state, this);
        }
        flush();
    }

    /**
     * Whether this process may end: a view without it is active, or it has waited for as long as it may
     * ({@link ReplicationSettings#leaveTimeoutMs}).
     */
    public boolean mayTerminate() {
        return plannedLeave != null && plannedLeave.isOver();
    }

    /** Whether this process is about to end. */
    boolean isLeaving() {
        return state.isLeaving();
    }

    /** A member is about to end. */
    void onLeaveRequest(String from, ReplicationMessage.LeaveRequest request) {
        View view = state.view();
        if (view == null) {
            return;
        }
        if (!view.ballot().equals(request.viewBallot())) {
            boolean alreadyRemoved = state.isActive()
                    && view.ballot().isAbove(request.viewBallot())
                    && !view.contains(request.incarnation());
            if (alreadyRemoved) {
                state.actions().send(from, new ReplicationMessage.NotMember(view));
            }
            return;
        }
        if (!view.contains(request.incarnation())
                || request.incarnation() == state.self().incarnation()) {
            return;
        }
        if (leader != null) {
            viewChangeInitiator.onFollowerLeaving(request.incarnation());
        } else if (request.incarnation() == view.ballot().proposer()) {
            leaderMonitor.onLeaderLeaving();
        }
        viewChangeInitiator.tick();
    }

    /** What this member knows, for operators and logs. */
    public ReplicaStatus status() {
        View view = state.view();
        boolean founding = view != null && view.isFounding();
        return new ReplicaStatus(
                role(),
                state.self(),
                view == null ? 0 : view.number(),
                state.membership().previousViewNumber(),
                view == null || founding ? List.of() : view.members(),
                view == null ? null : view.leader(),
                leader != null,
                state.isActive() && !founding,
                state.isSettled(),
                state.commitIndex(),
                state.appliedIndex(),
                state.diskUnhealthy(),
                state.membership().lineage());
    }

    private ReplicaRole role() {
        View view = state.view();
        if (isOutsideView()) {
            return ReplicaRole.JOINING;
        }
        if (view.isFounding()) {
            return ReplicaRole.FOUNDING;
        }
        boolean healthy = leader != null ? leader.hasActiveQuorum() : leaderMonitor.leaderIsHealthy();
        boolean working = state.isActive() && state.isOperationalIn(view.ballot());
        return working && healthy ? ReplicaRole.MEMBER : ReplicaRole.SUSPENDED;
    }

    /**
     * Zones, or else regions, that may be lost and hold half of the active view or more; empty where the rest would go
     * on.
     */
    public List<String> zonesHoldingHalf() {
        boolean known =
                state.view() != null && state.isActive() && !state.view().isFounding();
        return known
                ? state.settings().tolerance().groupsHoldingHalf(state.view().members())
                : List.of();
    }

    /**
     * Control-plane address of the leader that the others go on with, once this process is about to end and is not in
     * their view any more; else null.
     */
    public String successor() {
        return state.isLeaving() && isExcluded()
                ? follower.successorView().leader().address()
                : null;
    }

    boolean isLeader() {
        return leader != null;
    }

    /** The leader's state while this member leads; else null. */
    LeaderState leader() {
        return leader;
    }

    /** The leader's state, if this member leads the view of this ballot and may work in it; else null. */
    LeaderState leaderOf(Ballot view) {
        return leader != null && state.isOperationalIn(view) ? leader : null;
    }

    /** Whether this member leads a view that has been active for a while. */
    boolean hasBeenLeaderForAWhile() {
        return leader != null && leader.hasBeenActiveForAWhile();
    }

    boolean hasActiveQuorum() {
        return leader != null && leader.hasActiveQuorum() && !state.isLeaving();
    }

    /** Whether this member has no view, or a later one is active without it. */
    boolean isOutsideView() {
        return state.view() == null || isExcluded();
    }

    /** Whether a later view is known to be active without this member. */
    boolean isExcluded() {
        return follower.isExcluded();
    }

    /** The later view without this member; null if none is known. */
    View successorView() {
        return follower.successorView();
    }

    boolean noLeaderSeenYet() {
        return leaderMonitor.noLeaderSeenYet();
    }

    int rank() {
        return leaderMonitor.rank();
    }

    /** The view change that this member has started; null if there is none. */
    ViewChange viewChange() {
        return viewChange;
    }

    /** Whether a newcomer asks to join. */
    boolean hasNewcomers() {
        return joinAdmission.hasNewcomersCatchingUp()
                || !joinAdmission.admitted().isEmpty();
    }

    /** Sends join requests if this member is outside the view and they are due. */
    void maybeRequestJoin() {
        joinRequester.tick(seeds);
    }

    boolean proposeLocally(long token, byte[] bytes) {
        return leader.propose(state.origin(), token, bytes);
    }

    /** The highest ballot that stands against lower ones: promised, or that of this member's own view change. */
    Ballot highestReservedBallot() {
        boolean ownIsHigher = viewChange != null && viewChange.ballot().isAbove(state.promisedBallot());
        return ownIsHigher ? viewChange.ballot() : state.promisedBallot();
    }

    /** Transition: to preparing a view change; as a leader with the newcomers that are admitted. */
    void startViewChange(Set<Long> suspected, Set<Long> excluded, String reason) {
        Map<Long, ReplicationMessage.JoinRequest> newcomers =
                leader != null ? joinAdmission.admitted() : new LinkedHashMap<>();
        viewChange = new ViewChange(state, this, new ViewChangePlan(suspected, excluded, newcomers), reason);
    }

    /** Transition: the view change is given up; the next one not before {@code pauseMs} are over. */
    void abandonViewChange(String reason, long pauseMs) {
        state.actions().log(new ReplicationEvent.ViewChangeAbandoned(viewChange.ballot(), reason));
        viewChange = null;
        leaderMonitor.postponeElection(pauseMs);
    }

    /**
     * Transition: a new view change at once, without waiting for these members; where the rest is enough they are left
     * out even if they answer, as they would delay it again.
     */
    void restartViewChange(Set<Long> absent, String reason) {
        viewChange = null;
        startViewChange(absent, absent, reason);
    }

    /** Transition: the view change of another goes first, so this member neither leads nor changes the view. */
    void abandonLeadership() {
        viewChange = null;
        stopLeading();
    }

    /** Transition: from leader to follower. */
    void stopLeading() {
        if (leader == null) {
            return;
        }
        leader = null;
        joinAdmission.clear();
        state.actions().statusChanged();
    }

    /** Transition: all members have the view that this member has proposed; it leads. */
    void becomeLeader(List<String> leftOut) {
        viewChange = null;
        onViewInstalled();
        state.activateView();
        state.commits().setViewStartIndex(state.log().lastIndex());
        state.setDraining(false);
        joinAdmission.clear();
        leader = new LeaderState(state);
        for (String address : leftOut) {
            state.actions().send(address, new ReplicationMessage.NotMember(state.view()));
        }
        state.actions().statusChanged();
        pendingProposals.sendPending();
    }

    /** A later view is active without this member. */
    void onNotMember(View later) {
        follower.onNotMember(later);
    }

    /** A view that another member has proposed is installed here. */
    void onProposedViewInstalled() {
        onViewInstalled();
        joinRequester.onViewAccepted();
    }

    private void onViewInstalled() {
        follower.onViewInstalled();
        viewInstaller.cancelTransfer();
        leaderMonitor.onViewInstalled();
    }

    /** The view that this member has proposed is accepted here. */
    void onViewAccepted() {
        joinRequester.onViewAccepted();
    }

    /** The view of this member is active, as its leader says. */
    void onViewActivated() {
        pendingProposals.sendPending();
    }

    /** A disk is known to be lost: a view change that is preparing starts anew with that. */
    void onMembersRetired() {
        if (viewChange != null && viewChange.isPreparing()) {
            restartViewChange(Set.of(), "a disk is lost");
        }
    }
}
