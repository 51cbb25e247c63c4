package brambletray.platform.replication;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One member of the replicated control plane: the entry points of the replication protocol. {@link RoleState} owns
 * the member's role, {@link ReplicaState} its durable and volatile state; {@link MessageDispatcher} routes messages to
 * their handlers.
 *
 * <p>Deterministic and free of I/O: time, messages and completed syncs are passed in, effects are requested through
 * {@link ReplicationActions}. Not thread-safe. The package documentation shows why no acknowledged entry is lost.
 */
public final class Replica {
    private final ReplicaState state;
    private final LeaderMonitor leaderMonitor;
    private final RoleState roles;
    private final ViewInstaller viewInstaller;
    private final JoinRequester joinRequester;
    private final JoinAdmission joinAdmission;
    private final PendingProposals pendingProposals;
    private final ReadIndex readIndex;
    private final MemberRemovalRequests memberRemovalRequests;
    private final ViewChangeInitiator viewChangeInitiator;
    private final MessageDispatcher messageDispatcher;
    private boolean incarnationIsDurable;
    private PlannedLeave plannedLeave;
    private long lastTickAtMs;

    /**
     * Starts a member from its stored state; it sends nothing before its incarnation is synced.
     *
     * @param stored the state read from disk
     * @param nowMs  monotonic clock
     */
    public Replica(
            ReplicaConfig config,
            DurableState stored,
            ReplicationActions actions,
            StateMachine stateMachine,
            long nowMs) {
        state = new ReplicaState(config, stored, actions, stateMachine, new ProposalTracker(), nowMs);
        lastTickAtMs = nowMs;
        boolean founder = bootstrap(config, stored);
        leaderMonitor = new LeaderMonitor(state);
        roles = new RoleState(state, leaderMonitor, new RoleListener());
        viewInstaller = new ViewInstaller(state, roles, leaderMonitor);
        joinRequester = new JoinRequester(state, roles, leaderMonitor, config.seeds());
        joinAdmission = new JoinAdmission(state, roles);
        pendingProposals = new PendingProposals(state, roles);
        readIndex = new ReadIndex(state, roles);
        memberRemovalRequests = new MemberRemovalRequests(state, roles);
        viewChangeInitiator = new ViewChangeInitiator(state, roles, leaderMonitor, joinAdmission);
        messageDispatcher = new MessageDispatcher(
                state,
                roles,
                new MessageHandlers(
                        new FollowerState(state, roles, leaderMonitor),
                        viewInstaller,
                        joinRequester,
                        joinAdmission,
                        readIndex,
                        new LeaveRequests(state, roles, leaderMonitor, viewChangeInitiator)));
        state.writeAheadQueue().onSynced(() -> incarnationIsDurable = true);
        actions.log(new ReplicationEvent.Started(
                Long.toHexString(state.self().incarnation()),
                stored.isEmpty(),
                founder,
                state.viewName(),
                state.log().lastIndex()));
        state.writeAheadQueue().flush(nowMs);
    }

    /**
     * Stores a new incarnation if the disk is empty, and creates the founding view from the seeds if there is no view.
     *
     * @return whether this member is a founder
     */
    private boolean bootstrap(ReplicaConfig config, DurableState stored) {
        List<String> founders = stored.seeds();
        if (stored.isEmpty()) {
            byte[] incarnation = ReplicationCodec.write(out -> out.writeLong(config.newIncarnation()));
            state.writeAheadQueue().put(DurableState.INCARNATION_KEY, incarnation, state.nowMs());
            if (config.initialStart() && config.seeds().contains(config.address())) {
                founders = config.seeds();
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

    private final class RoleListener implements RoleState.Listener {
        @Override
        public Map<Long, ReplicationMessage.JoinRequest> admittedNewcomers() {
            return joinAdmission.admitted();
        }

        @Override
        public void onLeadershipChanged() {
            joinAdmission.clear();
        }

        @Override
        public void onViewAccepted() {
            joinRequester.onViewAccepted();
        }

        @Override
        public void onViewInstalled() {
            viewInstaller.cancelTransfer();
        }

        @Override
        public void onViewActivated() {
            pendingProposals.sendPending();
        }
    }

    /** Applies changed settings and seeds (on SIGHUP). */
    public void updateSettings(ReplicationSettings settings, List<String> newSeeds) {
        state.updateSettings(settings);
        joinRequester.updateSeeds(List.copyOf(newSeeds));
    }

    /** To be called every 25 to 50 ms. After a late call this member resets its timers before it suspects others. */
    public void tick(long nowMs) {
        advanceTime(nowMs);
        lastTickAtMs = nowMs;
        if (incarnationIsDurable) {
            if (roles.isLeader()) {
                roles.leader().tick();
            }
            if (roles.viewChange() != null) {
                roles.viewChange().tick();
            }
            viewChangeInitiator.tick();
            joinRequester.tick();
            messageDispatcher.tick();
            pendingProposals.tick();
            readIndex.advance();
            memberRemovalRequests.tick();
        }
        flush();
    }

    /** Called first by each entry point. If the process was paused, all failure-detection timers are reset. */
    private void advanceTime(long nowMs) {
        state.advanceTo(nowMs);
        long sinceTickMs = state.nowMs() - lastTickAtMs;
        if (sinceTickMs <= state.settings().maxTickDelayMs()) {
            return;
        }
        state.actions().log(new ReplicationEvent.ProcessPaused(sinceTickMs));
        lastTickAtMs = state.nowMs();
        leaderMonitor.resetTimers();
        if (roles.isLeader()) {
            roles.leader().resetTimers();
        }
        roles.dropPreparingViewChange();
    }

    /** Called last by each entry point: sends and writes what the call has produced. */
    private void flush() {
        if (plannedLeave != null && incarnationIsDurable) {
            plannedLeave.tick();
        }
        if (roles.isLeader()) {
            roles.leader().announceCommit();
        }
        state.writeAheadQueue().flush(state.nowMs());
    }

    /** Handles a message from the member at this control-plane address; objects of other types are ignored. */
    public void receive(String from, Object frame, long nowMs) {
        advanceTime(nowMs);
        memberRemovalRequests.onMessage(from);
        if (incarnationIsDurable && frame instanceof ReplicationMessage message) {
            messageDispatcher.dispatch(from, message);
        }
        flush();
    }

    /**
     * Removes a member whose machine and disk an operator declares permanently lost. The declaration is not verified,
     * so it must not be made on both sides of a network partition.
     *
     * @param incarnation as in {@link ReplicaStatus#members}
     * @param onOutcome   called now or within a few seconds; must not call back into this object before it returns
     */
    public void removeMember(String address, long incarnation, long nowMs, Consumer<MemberRemovalOutcome> onOutcome) {
        advanceTime(nowMs);
        memberRemovalRequests.request(address, incarnation, onOutcome);
        flush();
    }

    /** The batch with this ticket is durable. */
    public void synced(long ticket, long nowMs) {
        advanceTime(nowMs);
        state.writeAheadQueue().synced(ticket);
        flush();
    }

    /**
     * The batch with this ticket could not be written; an unknown part of it may be on disk. It is retried.
     */
    public void syncFailed(long ticket, long nowMs) {
        advanceTime(nowMs);
        if (!state.writeAheadQueue().isFailing()) {
            state.actions().log(new ReplicationEvent.WriteFailed(ticket));
        }
        state.writeAheadQueue().failed(ticket, state.nowMs());
        flush();
    }

    /** A connection to this address was refused or reset: a hint that counts only together with a timeout. */
    public void onDisconnected(String address, long nowMs) {
        advanceTime(nowMs);
        leaderMonitor.onDisconnected(address);
        if (roles.isLeader()) {
            roles.leader().onDisconnected(address);
        }
        flush();
    }

    /**
     * Proposes a change; the outcome is reported through {@link ReplicationActions#proposalCompleted}.
     *
     * @param token unique within this process
     */
    public void propose(long token, byte[] bytes, long nowMs) {
        advanceTime(nowMs);
        pendingProposals.propose(token, bytes);
        flush();
    }

    /**
     * Asks whether the state applied here includes everything acknowledged so far; the answer is reported through
     * {@link ReplicationActions#readIndexCompleted}.
     */
    public void requestReadIndex(long token, long nowMs) {
        advanceTime(nowMs);
        readIndex.confirm(token);
        flush();
    }

    /**
     * Starts a planned shutdown of this process (SIGTERM): leadership is handed over, and the view changes to one
     * without this member, which does not rejoin. {@link #mayTerminate} tells when the process may end.
     */
    public void leave(long nowMs) {
        advanceTime(nowMs);
        if (plannedLeave == null) {
            state.startLeaving();
            plannedLeave = new PlannedLeave(state, roles, joinAdmission);
        }
        flush();
    }

    /**
     * Whether this process may end: a view without it is active, or {@link ReplicationSettings#leaveTimeoutMs} has
     * passed.
     */
    public boolean mayTerminate() {
        return plannedLeave != null && plannedLeave.isOver();
    }

    /** Whether a planned shutdown has started. */
    boolean isLeaving() {
        return state.isLeaving();
    }

    /** The status of this member, for operators and logs. */
    public ReplicaStatus status() {
        View view = state.view();
        boolean founding = view != null && view.isFounding();
        return new ReplicaStatus(
                roles.role(),
                state.self(),
                view == null ? 0 : view.number(),
                state.membership().previousViewNumber(),
                view == null || founding ? List.of() : view.members(),
                view == null ? null : view.leader(),
                roles.isLeader(),
                state.isActive() && !founding,
                state.isSettled(),
                state.commitIndex(),
                state.appliedIndex(),
                state.diskUnhealthy(),
                state.membership().lineage());
    }

    /**
     * Zones (or regions) whose loss is to be tolerated but which hold half of the active view or more; empty if the
     * remaining members could continue.
     */
    public List<String> zonesHoldingHalf() {
        boolean known =
                state.view() != null && state.isActive() && !state.view().isFounding();
        return known
                ? state.settings().tolerance().groupsHoldingHalf(state.view().members())
                : List.of();
    }

    /**
     * The control-plane address of the successor view's leader, if this process is shutting down and the successor view
     * excludes it; else null.
     */
    public String successor() {
        return state.isLeaving() && roles.isExcluded()
                ? roles.successorView().leader().address()
                : null;
    }
}
