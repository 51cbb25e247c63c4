package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * One member of the core: views, the order of changes, changes of view. Pure: time, frames and syncs come in,
 * {@link ReplicationActions} says what is to be done. One thread only. See the package's page for the rules and why
 * they hold.
 */
public final class Replica {
    /** All frames, for registration with the codec; the records within them come first. */
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
    private final FollowerState follower;
    private final JoinRequester joinRequester;
    private final JoinAdmission joinAdmission;
    private final PendingProposals pendingProposals;
    private final ReadIndex readIndex;
    private final MemberRemovalOrders memberRemovalOrders;
    private final MessageDispatcher messageDispatcher;
    private List<String> seeds;
    private boolean incarnationIsDurable;
    private LeaderState leader;
    private ViewChange viewChange;
    private long lastTickAtMs;
    /** When each member that is about to end first said so. */
    private final Map<Long, Long> leavingSinceMs = new LinkedHashMap<>();

    private PlannedLeave plannedLeave;

    /**
     * @param address      of this machine's control-plane, as the others call it
     * @param name         node-name
     * @param zone         that this machine stands in; "" if it isn't known
     * @param newIncarnation    drawn at random, not 0: taken when {@code durableState} is of an empty disk
     * @param origin       drawn at random at each start of the process, not 0
     * @param durableState         what the disk holds
     * @param seeds        addresses from the settings
     * @param initialStart whether the settings say that the whole system starts for the first time
     * @param now          steady clock, ms
     */
    public Replica(
            String address,
            String name,
            String zone,
            long newIncarnation,
            long origin,
            DurableState durableState,
            List<String> seeds,
            boolean initialStart,
            ReplicationSettings settings,
            ReplicationActions out,
            StateMachine stateMachine,
            long now) {
        state = new ReplicaState(settings, out, stateMachine, origin);
        state.nowMs = now;
        lastTickAtMs = now;
        this.seeds = List.copyOf(seeds);
        boolean empty = durableState.incarnation() == 0;
        state.self = new Member(address, name, empty ? newIncarnation : durableState.incarnation(), zone);
        state.load(durableState);
        List<String> founders = durableState.seeds();
        if (empty) {
            state.writeAheadQueue.put(
                    DurableState.INCARNATION_KEY, ReplicationCodec.write(o -> o.writeLong(newIncarnation)), now);
            if (initialStart && seeds.contains(address)) {
                founders = this.seeds;
                state.writeAheadQueue.put(DurableState.SEEDS_KEY, ReplicationCodec.strings(founders), now);
            }
        }
        if (state.view == null && !founders.isEmpty()) {
            state.view = View.ofSeeds(founders);
            state.active = true;
        }
        follower = new FollowerState(state, this);
        joinRequester = new JoinRequester(state, follower);
        joinAdmission = new JoinAdmission(state, this);
        pendingProposals = new PendingProposals(state, this);
        readIndex = new ReadIndex(state, this);
        memberRemovalOrders = new MemberRemovalOrders(state, this);
        messageDispatcher = new MessageDispatcher(state, this, follower, joinRequester, joinAdmission, readIndex);
        state.passed = pendingProposals::onApplied;
        state.jumped = pendingProposals::onSnapshotInstalled;
        state.writeAheadQueue.onSynced(() -> incarnationIsDurable = true);
        out.log(new ReplicationEvent.Started(
                Long.toHexString(state.self.incarnation()),
                empty,
                !founders.isEmpty(),
                state.viewName(),
                state.log.lastIndex()));
        state.writeAheadQueue.flush(now);
    }

    /** The settings or the seeds have changed (SIGHUP). */
    public void updateSettings(ReplicationSettings settings, List<String> newSeeds) {
        state.settings = settings;
        seeds = List.copyOf(newSeeds);
    }

    /** To be called every 25 to 50 ms; much later calls make this member doubt itself. */
    public void tick(long now) {
        advanceTime(now);
        lastTickAtMs = now;
        if (incarnationIsDurable) {
            if (leader != null) {
                leader.tick();
            }
            if (viewChange != null) {
                viewChange.tick();
            }
            maybeStartViewChange();
            maybeRequestJoin();
            messageDispatcher.tick();
            pendingProposals.tick();
            readIndex.advance();
            memberRemovalOrders.tick();
        }
        leave();
    }

    private void advanceTime(long now) {
        state.nowMs = Math.max(now, state.nowMs);
        if (state.nowMs - lastTickAtMs <= state.settings.maxTickDelayMs()) {
            return;
        }
        state.actions.log(new ReplicationEvent.ProcessPaused(state.nowMs - lastTickAtMs));
        lastTickAtMs = state.nowMs;
        follower.resetTimers();
        if (leader != null) {
            leader.resetTimers();
        }
        if (viewChange != null && viewChange.isPreparing()) {
            viewChange = null;
        }
    }

    private void leave() {
        if (plannedLeave != null && incarnationIsDurable) {
            plannedLeave.tick();
        }
        if (leader != null) {
            leader.announceCommit();
        }
        state.writeAheadQueue.flush(state.nowMs);
    }

    /** Begins a change of view where one is due. */
    private void maybeStartViewChange() {
        if (viewChange != null
                && viewChange.isPreparing()
                && leader == null
                && follower.leaderIsHealthy()
                && !state.hasPromisedHigherBallot()) {
            abandonViewChange("the leader is heard again", 0);
        }
        if (viewChange != null || state.view == null || state.diskUnhealthy()) {
            return;
        }
        if (leader == null) {
            if (!state.leaving && follower.electionTimeoutExpired()) {
                startTakeover();
            }
            return;
        }
        Set<Long> silent = leader.silentMembers();
        Set<Long> slow = leader.slowMembers();
        if (!silent.isEmpty() || !slow.isEmpty()) {
            Set<Long> suspected = new LinkedHashSet<>(silent);
            suspected.addAll(slow);
            suspected.forEach(incarnation ->
                    joinAdmission.penalise(state.view.memberOf(incarnation).address()));
            startViewChange(suspected, slow, (silent.isEmpty() ? "" : "silent ") + (slow.isEmpty() ? "" : "slow"));
        } else if (leader.hasSupersededMember()) {
            startViewChange(Set.of(), Set.of(), "a member has stopped");
        } else if (state.view.members().stream()
                .anyMatch(member -> state.retiredIncarnations.contains(member.incarnation()))) {
            startViewChange(Set.of(), Set.of(), "a disk is lost");
        } else if (leader.hasBeenActiveForAWhile()) {
            Set<Long> leaves = removableLeavers();
            if (!joinAdmission.admitted().isEmpty()) {
                startViewChange(leaves, leaves, "newcomers");
            } else if (!leaves.isEmpty() && !replacementIsCatchingUp()) {
                startViewChange(leaves, leaves, "leaves");
            }
        }
    }

    /** Begins a change in place of a leader that is silent or about to end. */
    private void startTakeover() {
        Member leader = state.view.leader();
        Set<Long> without = leader == null || leader.incarnation() == state.self.incarnation()
                ? Set.of()
                : Set.of(leader.incarnation());
        boolean released = follower.leaderIsLeaving() && !without.isEmpty();
        if (released) {
            // told on before the Stop that follows on the same link: who hasn't heard it would refuse, as the leader is
            // well
            for (Member member : state.view.members()) {
                if (member.incarnation() != state.self.incarnation()) {
                    state.actions.send(
                            member.address(),
                            new ReplicationMessage.LeaveRequest(state.view.ballot(), leader.incarnation()));
                }
            }
        }
        startViewChange(without, released ? without : Set.of(), released ? "leader leaves" : "leader silent");
    }

    /** Members that are about to end, if the rest can go on without them and bears the losses; else none. */
    private Set<Long> removableLeavers() {
        leavingSinceMs.keySet().removeIf(incarnation -> !state.view.contains(incarnation));
        if (leavingSinceMs.isEmpty()) {
            return Set.of();
        }
        List<Member> rest = new ArrayList<>(state.view.members());
        rest.removeIf(member -> leavingSinceMs.containsKey(member.incarnation()));
        boolean enough = state.settings.tolerance().toleratesLossWith(rest)
                && Quorum.isReached(state.view.members(), rest, state.retiredIncarnations);
        return enough ? Set.copyOf(leavingSinceMs.keySet()) : Set.of();
    }

    /**
     * Whether who is about to end stays, as the one that takes its place is on its way: for half of what the leaver
     * has, at most.
     */
    private boolean replacementIsCatchingUp() {
        for (long at : leavingSinceMs.values()) {
            if (2 * (state.nowMs - at) > state.settings.leaveTimeoutMs()) {
                return false;
            }
        }
        return joinAdmission.hasNewcomersCatchingUp();
    }

    /** Whether a newcomer knocks. */
    boolean hasNewcomers() {
        return joinAdmission.hasNewcomersCatchingUp()
                || !joinAdmission.admitted().isEmpty();
    }

    private void startViewChange(Set<Long> suspected, Set<Long> excluded, String why) {
        Map<Long, ReplicationMessage.JoinRequest> newcomers =
                leader != null ? joinAdmission.admitted() : new LinkedHashMap<>();
        viewChange = new ViewChange(state, this, suspected, excluded, newcomers, why);
    }

    /** A frame from the member at this control-plane address. */
    public void receive(String from, Object frame, long now) {
        advanceTime(now);
        memberRemovalOrders.onMessage(from);
        if (incarnationIsDurable && frame instanceof ReplicationMessage known) {
            messageDispatcher.dispatch(from, known);
        }
        leave();
    }

    /**
     * An operator declares that the machine of this member is gone for good, with its disk, and will never answer
     * again. The order is the operator's
     * word and no proof: it must not be given on both sides of a partition. {@code then} is told what became of it, now
     * or within
     * a few seconds, and may not call back into this object before it returns.
     *
     * @param incarnation as {@link ReplicaStatus#members} has it
     */
    public void removeMember(String address, long incarnation, long now, Consumer<MemberRemovalOutcome> then) {
        advanceTime(now);
        memberRemovalOrders.pending(address, incarnation, then);
        leave();
    }

    /** The batch of this ticket is on the disk. */
    public void synced(long ticket, long now) {
        advanceTime(now);
        state.writeAheadQueue.synced(ticket);
        leave();
    }

    /**
     * The batch of this ticket could not be written; nothing is known of what is on the disk of it. It will be tried
     * again.
     */
    public void syncFailed(long ticket, long now) {
        advanceTime(now);
        if (!state.writeAheadQueue.isFailing()) {
            state.actions.log(new ReplicationEvent.WriteFailed(ticket));
        }
        state.writeAheadQueue.failed(ticket, state.nowMs);
        leave();
    }

    /** A connection to this address was refused or reset: a hint that only counts together with silence. */
    public void onDisconnected(String address, long now) {
        advanceTime(now);
        follower.onDisconnected(address);
        if (leader != null) {
            leader.onDisconnected(address);
        }
        leave();
    }

    /**
     * Proposes a change; its outcome comes through {@link ReplicationActions#proposalCompleted}. A token is used once in the life
     * of a process.
     */
    public void propose(long token, byte[] bytes, long now) {
        advanceTime(now);
        pendingProposals.propose(token, bytes);
        leave();
    }

    /**
     * Asks whether what has been delivered here is no older than all that was acknowledged until now:
     * {@link ReplicationActions#readIndexCompleted}.
     */
    public void requestReadIndex(long token, long now) {
        advanceTime(now);
        readIndex.confirm(token);
        leave();
    }

    /**
     * This process is about to end, as planned (SIGTERM): others lead and go on without it, and it doesn't come in
     * again. {@link #mayTerminate} says when.
     */
    public void leave(long now) {
        advanceTime(now);
        if (plannedLeave == null) {
            state.leaving = true;
            plannedLeave = new PlannedLeave(state, this);
        }
        leave();
    }

    /**
     * Whether this process may end: a view without it is in force, or it has waited for as long as it may
     * ({@link ReplicationSettings#leaveTimeoutMs}).
     */
    public boolean mayTerminate() {
        return plannedLeave != null && plannedLeave.isOver();
    }

    /** Whether this process has been told to end. */
    boolean leaving() {
        return state.leaving;
    }

    /** A member is about to end. */
    void onLeaveRequest(String from, ReplicationMessage.LeaveRequest request) {
        View view = state.view;
        if (view == null) {
            return;
        }
        if (!view.ballot().equals(request.viewBallot())) {
            // the view without it is in force, and it hasn't heard of it
            boolean out = state.active
                    && view.ballot().isAbove(request.viewBallot())
                    && !view.contains(request.incarnation());
            if (out) {
                state.actions.send(from, new ReplicationMessage.NotMember(view));
            }
            return;
        }
        if (!view.contains(request.incarnation()) || request.incarnation() == state.self.incarnation()) {
            return;
        }
        if (leader != null) {
            leavingSinceMs.putIfAbsent(request.incarnation(), state.nowMs);
        } else if (request.incarnation() == view.ballot().proposer()) {
            follower.onLeaderLeaving();
        }
        maybeStartViewChange();
    }

    /** What this member knows. */
    public ReplicaStatus status() {
        View view = state.view;
        boolean founding = view != null && view.isFounding();
        boolean well = leader != null ? leader.hasActiveQuorum() : follower.leaderIsHealthy();
        ReplicaRole standing = joinRequester.isOutsideView()
                ? ReplicaRole.JOINING
                : founding
                        ? ReplicaRole.FOUNDING
                        : state.active && state.isOperationalIn(view.ballot()) && well
                                ? ReplicaRole.MEMBER
                                : ReplicaRole.SUSPENDED;
        List<Member> members = view == null || founding ? List.of() : view.members();
        return new ReplicaStatus(
                standing,
                state.self,
                view == null ? 0 : view.number(),
                state.previousViewNumber,
                members,
                view == null ? null : view.leader(),
                leader != null,
                state.active && !founding,
                state.settled(),
                state.commitIndex,
                state.appliedIndex,
                state.diskUnhealthy(),
                state.lineage);
    }

    /**
     * Zones, or else regions, that may be lost and hold half of the view in force or more; empty where the rest would
     * go on.
     */
    public List<String> zonesHoldingHalf() {
        boolean known = state.view != null && state.active && !state.view.isFounding();
        return known ? state.settings.tolerance().groupsHoldingHalf(state.view.members()) : List.of();
    }

    /**
     * Control-plane address of the leader that the others go on with, once this process is about to end and is out;
     * else null.
     */
    public String successor() {
        return state.leaving && follower.isExcluded()
                ? follower.successorView().leader().address()
                : null;
    }

    boolean isLeader() {
        return leader != null;
    }

    /** Whether this member leads a view that has been in force for a while. */
    boolean hasBeenLeaderForAWhile() {
        return leader != null && leader.hasBeenActiveForAWhile();
    }

    /** The later view without this member, or null. */
    View successorView() {
        return follower.successorView();
    }

    boolean hasActiveQuorum() {
        return leader != null && leader.hasActiveQuorum() && !state.leaving;
    }

    boolean isExcluded() {
        return follower.isExcluded();
    }

    boolean noLeaderSeenYet() {
        return follower.noLeaderSeenYet();
    }

    int rank() {
        return follower.rank();
    }

    ViewChange viewChange() {
        return viewChange;
    }

    /** The part that leads, if this member leads the view of this name and may work in it; else null. */
    LeaderState leaderOf(Ballot view) {
        return leader != null && state.isOperationalIn(view) ? leader : null;
    }

    /** Knocks, if there is reason to and it is time. */
    void maybeRequestJoin() {
        joinRequester.tick(seeds);
    }

    boolean proposeLocally(long token, byte[] bytes) {
        return leader.propose(state.origin, token, bytes);
    }

    /** Highest ballot that stands in the way of lower ones: promised, or counted by our own attempt. */
    Ballot highestReservedBallot() {
        return viewChange != null && viewChange.ballot().isAbove(state.promisedBallot)
                ? viewChange.ballot()
                : state.promisedBallot;
    }

    /** Another's change goes before ours: neither lead nor change. */
    void abandonLeadership() {
        viewChange = null;
        stopLeading();
    }

    void stopLeading() {
        if (leader == null) {
            return;
        }
        leader = null;
        joinAdmission.clear();
        state.actions.statusChanged();
    }

    /** Gives the attempt up; the next one not before the pause is over. */
    void abandonViewChange(String why, long pauseMs) {
        state.actions.log(new ReplicationEvent.ViewChangeAbandoned(viewChange.ballot(), why));
        viewChange = null;
        follower.postponeElection(pauseMs);
    }

    /**
     * Begins anew at once, without waiting for these; who answers all the same is left out if the rest is enough: it
     * would hold it up again.
     */
    void restartViewChange(Set<Long> absent, String why) {
        viewChange = null;
        startViewChange(absent, absent, why);
    }

    /** A view has been kept here. */
    void onViewAccepted() {
        joinRequester.onViewAccepted();
    }

    /** The view of this member is in force, said by its leader. */
    void onViewActivated() {
        pendingProposals.sendPending();
    }

    /** All members have kept the view that this member has proposed. */
    void becomeLeader(List<String> leftOut) {
        viewChange = null;
        follower.onViewInstalled();
        state.activateView();
        state.viewStartIndex = state.log.lastIndex();
        state.draining = false;
        joinAdmission.clear();
        leader = new LeaderState(state);
        for (String address : new ArrayList<>(leftOut)) {
            state.actions.send(address, new ReplicationMessage.NotMember(state.view));
        }
        state.actions.statusChanged();
        pendingProposals.sendPending();
    }

    /** A disk is proven lost: an attempt under way is made anew with it. */
    void onMembersRetired() {
        if (viewChange != null && viewChange.isPreparing()) {
            restartViewChange(Set.of(), "a disk is lost");
        }
    }
}
