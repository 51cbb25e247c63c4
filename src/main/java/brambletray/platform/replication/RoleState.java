package brambletray.platform.replication;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The role of one member and every transition between roles: follower, leader ({@link LeaderState}), proposer of a view
 * change ({@link ViewChange}), or outside the view. One thread only.
 *
 * <p>Invariants: at most one of leader and installing view change is set; a higher promise ends both
 * ({@link #abandonLeadership}); a member that knows a later view without itself ({@link #isExcluded}) does not lead.
 */
final class RoleState {
    /** What else has to follow a transition. The calls come in the middle of it and may not start another. */
    interface Listener {
        /** Newcomers that may join with the next view change of this leader, by incarnation. */
        Map<Long, ReplicationMessage.JoinRequest> admittedNewcomers();

        /** This member has begun to lead, or leads no longer: newcomers have to ask anew. */
        void onLeadershipChanged();

        /** The view of this member, or one proposed by another, is accepted here: it need not ask to join. */
        void onViewAccepted();

        /** A view is installed here: what was being fetched for another is of no use. */
        void onViewInstalled();

        /** The view is active: proposals can be sent to its leader. */
        void onViewActivated();
    }

    private final ReplicaState state;
    private final LeaderMonitor leaderMonitor;
    private final Listener listener;
    private LeaderState leader;
    private ViewChange viewChange;
    private View successorView;

    RoleState(ReplicaState state, LeaderMonitor leaderMonitor, Listener listener) {
        this.state = state;
        this.leaderMonitor = leaderMonitor;
        this.listener = listener;
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
        return leader != null && leader.hasReachedMinViewAge();
    }

    /** Whether this member leads, hears a majority of its view and is not about to end. */
    boolean hasActiveQuorum() {
        return leader != null && leader.hasActiveQuorum() && !state.isLeaving();
    }

    /** The view change that this member has started; null if there is none. */
    ViewChange viewChange() {
        return viewChange;
    }

    /** Whether this member has no view, or a later one is active without it. */
    boolean isOutsideView() {
        return state.view() == null || isExcluded();
    }

    /** Whether a later view is known to be active without this member. */
    boolean isExcluded() {
        return successorView != null;
    }

    /** The later view without this member; null if none is known. */
    View successorView() {
        return successorView;
    }

    /** The role as operators see it. */
    ReplicaRole role() {
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

    /** The highest ballot that stands against lower ones: promised, or that of this member's own view change. */
    Ballot highestReservedBallot() {
        boolean ownIsHigher = viewChange != null && viewChange.ballot().isAbove(state.promisedBallot());
        return ownIsHigher ? viewChange.ballot() : state.promisedBallot();
    }

    /** Transition: to preparing a view change; as a leader with the newcomers that are admitted. */
    void startViewChange(Set<Long> suspected, Set<Long> excluded, String reason) {
        Map<Long, ReplicationMessage.JoinRequest> newcomers =
                leader != null ? listener.admittedNewcomers() : new LinkedHashMap<>();
        ViewChangePlan plan = new ViewChangePlan(suspected, excluded, newcomers);
        viewChange = new ViewChange(state, this, leaderMonitor, plan, reason);
    }

    /** Transition: the view change is given up; the next one not before {@code pauseMs} are over. */
    void abandonViewChange(String reason, long pauseMs) {
        state.actions().log(new ReplicationEvent.ViewChangeAbandoned(viewChange.ballot(), reason));
        viewChange = null;
        leaderMonitor.postponeElection(pauseMs);
    }

    /** Transition: a view change that is still preparing is dropped without a trace. */
    void dropPreparingViewChange() {
        if (viewChange != null && viewChange.isPreparing()) {
            viewChange = null;
        }
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
        listener.onLeadershipChanged();
        state.actions().statusChanged();
    }

    /** Transition: all members have the view that this member has proposed; it leads. */
    void becomeLeader(Iterable<String> excludedAddresses) {
        viewChange = null;
        onViewInstalled();
        state.activateView();
        state.commits().setViewStartIndex(state.log().lastIndex());
        state.setDraining(false);
        listener.onLeadershipChanged();
        leader = new LeaderState(state);
        for (String address : excludedAddresses) {
            state.actions().send(address, new ReplicationMessage.NotMember(state.view()));
        }
        state.actions().statusChanged();
        listener.onViewActivated();
    }

    /** Transition: a view that another member has proposed is installed here, so this member follows. */
    void becomeFollower() {
        abandonLeadership();
        onViewInstalled();
        listener.onViewAccepted();
    }

    /** The view that this member has proposed is accepted here. */
    void onOwnViewAccepted() {
        listener.onViewAccepted();
    }

    /** The view of this member is active, as its leader says. */
    void onViewActivated() {
        listener.onViewActivated();
    }

    private void onViewInstalled() {
        successorView = null;
        listener.onViewInstalled();
        leaderMonitor.onViewInstalled();
    }

    /** Transition: out of the view, if this is a later one that is active without this member. */
    void onNotMember(View later) {
        View view = state.view();
        boolean excludes = view != null
                && later.ballot().isAbove(view.ballot())
                && !later.contains(state.self().incarnation());
        boolean known = successorView != null && !later.ballot().isAbove(successorView.ballot());
        if (!excludes || known) {
            return;
        }
        successorView = later;
        for (Member member : later.members()) {
            state.addKnownAddress(member.address());
        }
        abandonLeadership();
        state.actions()
                .log(new ReplicationEvent.ExcludedFromView(
                        view.ballot(), later.ballot(), ReplicaState.names(later.members())));
        state.actions().statusChanged();
    }

    /** A disk is known to be lost: a view change that is preparing starts anew with that. */
    void onMembersRetired() {
        if (viewChange != null && viewChange.isPreparing()) {
            restartViewChange(Set.of(), "a disk is lost");
        }
    }
}
