package brambletray.platform.replication;

/**
 * The planned end of a member: leadership transfer, then a view change without it. A leader begins nothing more,
 * waits until what is in flight is committed and newcomers have joined, and only then says that it leaves, so that
 * the next in rank takes over at once; any other member says so to the leader, which changes the view. It is repeated
 * until a view without this member is active. That view has to tolerate the losses; while the rest does not (two
 * members and no newcomer), this member stays, for as long as it may.
 */
final class PlannedLeave {
    /** ms between two leave requests: one may be lost, or reach a member that cannot act on it yet. */
    private static final int RETRY_INTERVAL_MS = 100;
    /** ms for what is in flight to be committed; it takes longer only when a member is unhealthy. */
    private static final int DRAIN_TIMEOUT_MS = 300;

    private final ReplicaState state;
    private final RoleState roles;
    private final JoinAdmission joinAdmission;
    private final long startedAtMs;
    private long announcedAtMs = Long.MIN_VALUE / 2;
    private long drainingSinceMs;
    private String endReason;

    PlannedLeave(ReplicaState state, RoleState roles, JoinAdmission joinAdmission) {
        this.state = state;
        this.roles = roles;
        this.joinAdmission = joinAdmission;
        startedAtMs = state.nowMs();
        state.actions()
                .log(new ReplicationEvent.LeaveStarted(
                        state.viewName(),
                        roles.isLeader(),
                        state.commitIndex(),
                        state.log().lastIndex()));
    }

    /** Whether the process may end. */
    boolean isOver() {
        return endReason != null;
    }

    void tick() {
        if (endReason != null) {
            return;
        }
        boolean member = state.view() != null && !state.view().isFounding() && !roles.isExcluded();
        if (!member) {
            end(state.view() == null || state.view().isFounding() ? "not a member" : "gone on without it");
        } else if (state.nowMs() - startedAtMs >= state.settings().leaveTimeoutMs()) {
            end("nobody has gone on without it in time");
        } else if (state.view().members().size() == 1 && !joinAdmission.hasNewcomers()) {
            end("alone");
        } else if (roles.viewChange() == null
                && state.nowMs() - announcedAtMs >= RETRY_INTERVAL_MS
                && (!roles.isLeader() || isDrained())) {
            announce();
        }
    }

    /**
     * Whether this leader has nothing to finish first: newcomers that are catching up (for half of the time it has,
     * at most), the last view change, and then what is in flight.
     */
    private boolean isDrained() {
        boolean settles = !roles.hasBeenLeaderForAWhile() || joinAdmission.hasNewcomers();
        if (settles && 2 * (state.nowMs() - startedAtMs) < state.settings().leaveTimeoutMs()) {
            return false;
        }
        if (!state.isDraining()) {
            drainingSinceMs = state.nowMs();
        }
        state.setDraining(true);
        return state.commitIndex() >= state.log().lastIndex() || state.nowMs() - drainingSinceMs >= DRAIN_TIMEOUT_MS;
    }

    private void announce() {
        announcedAtMs = state.nowMs();
        for (Member member : state.view().members()) {
            if (member.incarnation() != state.self().incarnation()) {
                state.actions()
                        .send(
                                member.address(),
                                new ReplicationMessage.LeaveRequest(
                                        state.view().ballot(), state.self().incarnation()));
            }
        }
    }

    private void end(String how) {
        endReason = how;
        View view = roles.successorView() != null ? roles.successorView() : state.view();
        state.actions()
                .log(new ReplicationEvent.LeaveFinished(
                        how,
                        state.nowMs() - startedAtMs,
                        view == null ? "none" : view.ballot().toString(),
                        view == null ? "" : ReplicaState.names(view.members())));
        state.actions().statusChanged();
    }
}
