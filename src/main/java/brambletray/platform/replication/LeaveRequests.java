package brambletray.platform.replication;

/** Handles the announcements of other members that they are leaving ({@link PlannedLeave}). */
final class LeaveRequests {
    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private final ViewChangeInitiator viewChangeInitiator;

    LeaveRequests(
            ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor, ViewChangeInitiator viewChangeInitiator) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
        this.viewChangeInitiator = viewChangeInitiator;
    }

    void onLeaveRequest(String from, ReplicationMessage.LeaveRequest request) {
        View view = state.view();
        if (view == null) {
            return;
        }
        if (!view.ballot().equals(request.viewBallot())) {
            if (isAlreadyRemoved(request, view)) {
                state.actions().send(from, new ReplicationMessage.NotMember(view));
            }
            return;
        }
        if (!view.contains(request.incarnation())
                || request.incarnation() == state.self().incarnation()) {
            return;
        }
        if (roles.isLeader()) {
            viewChangeInitiator.onFollowerLeaving(request.incarnation());
        } else if (request.incarnation() == view.ballot().proposer()) {
            leaderMonitor.onLeaderLeaving();
        }
        viewChangeInitiator.tick();
    }

    private boolean isAlreadyRemoved(ReplicationMessage.LeaveRequest request, View view) {
        return state.isActive() && view.ballot().isAbove(request.viewBallot()) && !view.contains(request.incarnation());
    }
}
