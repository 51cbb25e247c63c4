package brambletray.platform.replication;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * One member of the core: the entry points of the replication protocol. {@link RoleState} owns its role, {@link
 * ReplicaState} what it knows and has on disk; {@link MessageDispatcher} knows which part a message is for.
 *
 * <p>Pure: time, messages and completed syncs come in, {@link ReplicationActions} says what is to be done. One thread
 * only. The package comment says why nothing that was acknowledged is lost.
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

    /** Writes the identity of an empty disk, and begins from the list of seeds; whether this member is a founder. */
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

    /** The settings or the seeds have changed (SIGHUP). */
    public void updateSettings(ReplicationSettings settings, List<String> newSeeds) {
        state.updateSettings(settings);
        joinRequester.updateSeeds(List.copyOf(newSeeds));
    }

    /** To be called every 25 to 50 ms; after a much later call this member suspects itself before others. */
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
        if (roles.isLeader()) {
            roles.leader().resetTimers();
        }
        roles.dropPreparingViewChange();
    }

    /** Each entry point ends with this: sends and writes what it brought about. */
    private void flush() {
        if (plannedLeave != null && incarnationIsDurable) {
            plannedLeave.tick();
        }
        if (roles.isLeader()) {
            roles.leader().announceCommit();
        }
        state.writeAheadQueue().flush(state.nowMs());
    }

    /** A message has come from the member at this control-plane address; other kinds of objects are ignored. */
    public void receive(String from, Object frame, long nowMs) {
        advanceTime(nowMs);
        memberRemovalRequests.onMessage(from);
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
        memberRemovalRequests.request(address, incarnation, onOutcome);
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
        if (roles.isLeader()) {
            roles.leader().onDisconnected(address);
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
            plannedLeave = new PlannedLeave(state, roles, joinAdmission);
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

    /** What this member knows, for operators and logs. */
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
        return state.isLeaving() && roles.isExcluded()
                ? roles.successorView().leader().address()
                : null;
    }
}
