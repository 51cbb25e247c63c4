package brambletray.platform.replication;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The role of one member and all transitions between roles: follower, leader ({@link LeaderState}), proposer of a view
 * change ({@link ViewChange}), or outside the view. Not thread-safe.
 *
 * <p>Invariants: a leader and an installing view change never coexist; promising a higher ballot ends both
 * ({@link #abandonLeadership}); a member that knows of a later view without itself ({@link #isExcluded}) does not lead.
 */
final class RoleState {
    /** Observes transitions. Called during a transition; must not start another one. */
    interface Listener {
        /** Join requests admitted for the next view change of this leader, by incarnation. */
        Map<Long, ReplicationMessage.JoinRequest> admittedNewcomers();

        /** This member has become leader or stopped being leader: newcomers have to send new join requests. */
        void onLeadershipChanged();

        /** A view proposed by this or another member has been accepted here: no join request is needed. */
        void onViewAccepted();

        /** A view has been installed here: a state transfer for another view is obsolete. */
        void onViewInstalled();

        /** The view has become active: proposals can be sent to its leader. */
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

    /** The leader state; null if this member does not lead. */
    LeaderState leader() {
        return leader;
    }

    /** The leader state if this member leads the view with this ballot and has promised no higher one; else null. */
    LeaderState leaderOf(Ballot view) {
        return leader != null && state.isOperationalIn(view) ? leader : null;
    }

    /** Whether this member leads a view that has been active for a while. */
    boolean hasBeenLeaderForAWhile() {
        return leader != null && leader.hasReachedMinViewAge();
    }

    /** Whether this member leads, receives responses from a majority of its view and is not shutting down. */
    boolean hasActiveQuorum() {
        return leader != null && leader.hasActiveQuorum() && !state.isLeaving();
    }

    /** The view change in progress that this member has started; null if there is none. */
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

    /** The role as reported to operators. */
    ReplicaRole role() {
        View view = state.view();
        if (isOutsideView()) {
            return ReplicaRole.JOINING;
        }
        if (view.isFounding()) {
            return ReplicaRole.FOUNDING;
        }
        boolean healthy = leader != null ? leader.hasActiveQuorum() : leaderMonitor.leaderIsHealthy();
        boolean operational = state.isActive() && state.isOperationalIn(view.ballot());
        return operational && healthy ? ReplicaRole.MEMBER : ReplicaRole.SUSPENDED;
    }

    /** The higher of the promised ballot and the ballot of this member's own view change. */
    Ballot highestReservedBallot() {
        boolean ownIsHigher = viewChange != null && viewChange.ballot().isAbove(state.promisedBallot());
        return ownIsHigher ? viewChange.ballot() : state.promisedBallot();
    }

    /** Transition: starts preparing a view change; a leader includes the admitted newcomers. */
    void startViewChange(Set<Long> suspected, Set<Long> excluded, String reason) {
        Map<Long, ReplicationMessage.JoinRequest> newcomers =
                leader != null ? listener.admittedNewcomers() : new LinkedHashMap<>();
        ViewChangePlan plan = new ViewChangePlan(suspected, excluded, newcomers);
        viewChange = new ViewChange(state, this, leaderMonitor, plan, reason);
    }

    /** Transition: abandons the view change; the next one starts after {@code pauseMs} at the earliest. */
    void abandonViewChange(String reason, long pauseMs) {
        state.actions().log(new ReplicationEvent.ViewChangeAbandoned(viewChange.ballot(), reason));
        viewChange = null;
        leaderMonitor.postponeElection(pauseMs);
    }

    /** Transition: drops a view change that is still preparing and has therefore no durable effect here. */
    void dropPreparingViewChange() {
        if (viewChange != null && viewChange.isPreparing()) {
            viewChange = null;
        }
    }

    /**
     * Transition: starts a new view change immediately without waiting for these members. If the others suffice they
     * are excluded even if they respond, since they would delay it again.
     */
    void restartViewChange(Set<Long> absent, String reason) {
        viewChange = null;
        startViewChange(absent, absent, reason);
    }

    /** Transition: yields to another member's view change, ending this member's leadership and own view change. */
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

    /** Transition: this member leads the view that it proposed, now on disk at all its members. */
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

    /** Transition: this member follows the proposer of a view that has been installed here. */
    void becomeFollower() {
        abandonLeadership();
        onViewInstalled();
        listener.onViewAccepted();
    }

    /** The view proposed by this member has been accepted here. */
    void onOwnViewAccepted() {
        listener.onViewAccepted();
    }

    /** The leader has reported that the view is active. */
    void onViewActivated() {
        listener.onViewActivated();
    }

    private void onViewInstalled() {
        successorView = null;
        listener.onViewInstalled();
        leaderMonitor.onViewInstalled();
    }

    /** Transition: leaves the view if the given one is later and active without this member. */
    void onNotMember(View laterView) {
        View view = state.view();
        boolean excludes = view != null
                && laterView.ballot().isAbove(view.ballot())
                && !laterView.contains(state.self().incarnation());
        boolean alreadyKnown = successorView != null && !laterView.ballot().isAbove(successorView.ballot());
        if (!excludes || alreadyKnown) {
            return;
        }
        successorView = laterView;
        for (Member member : laterView.members()) {
            state.addKnownAddress(member.address());
        }
        abandonLeadership();
        state.actions()
                .log(new ReplicationEvent.ExcludedFromView(
                        view.ballot(), laterView.ballot(), ReplicaState.names(laterView.members())));
        state.actions().statusChanged();
    }

    /** Restarts a view change that is still preparing, as newly retired incarnations change its quorum. */
    void onMembersRetired() {
        if (viewChange != null && viewChange.isPreparing()) {
            restartViewChange(Set.of(), "a disk is lost");
        }
    }
}
