package brambletray.platform.replication;

/**
 * Planned shutdown of a member: leadership transfer, then a view change that excludes it. A leader accepts no new
 * proposals, waits until entries in flight are committed and newcomers have joined, and only then announces that it is
 * leaving, so that the next in rank takes over at once. Any other member announces it to all, and the leader changes
 * the view. The announcement is repeated until a view without this member is active. That view has to tolerate the
 * configured losses; while the remaining members do not (two members and no newcomer), this member stays until {@link
 * ReplicationSettings#leaveTimeoutMs}.
 */
final class PlannedLeave {
    /** Interval of leave requests: one may be lost, or reach a member that cannot act on it yet. */
    private static final int RETRY_INTERVAL_MS = 100;
    /** Limit for committing the entries in flight; it takes longer only if a member is unhealthy. */
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

    /** Whether the process may exit. */
    boolean isOver() {
        return endReason != null;
    }

    void tick() {
        if (endReason != null) {
            return;
        }
        boolean isMember = state.view() != null && !state.view().isFounding() && !roles.isExcluded();
        if (!isMember) {
            end(
                    state.view() == null || state.view().isFounding()
                            ? "not a member"
                            : "a view without this member is active");
        } else if (state.nowMs() - startedAtMs >= state.settings().leaveTimeoutMs()) {
            end("leave timeout expired");
        } else if (state.view().members().size() == 1 && !joinAdmission.hasNewcomers()) {
            end("alone");
        } else if (roles.viewChange() == null
                && state.nowMs() - announcedAtMs >= RETRY_INTERVAL_MS
                && (!roles.isLeader() || isDrained())) {
            announce();
        }
    }

    /**
     * Whether this leader may announce its leave. It first waits for newcomers to join and for the view to reach its
     * minimum age, for at most half of the leave time-out, and then for the entries in flight to be committed.
     */
    private boolean isDrained() {
        boolean unsettled = !roles.hasBeenLeaderForAWhile() || joinAdmission.hasNewcomers();
        if (unsettled && 2 * (state.nowMs() - startedAtMs) < state.settings().leaveTimeoutMs()) {
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

    private void end(String reason) {
        endReason = reason;
        View view = roles.successorView() != null ? roles.successorView() : state.view();
        state.actions()
                .log(new ReplicationEvent.LeaveFinished(
                        reason,
                        state.nowMs() - startedAtMs,
                        view == null ? "none" : view.ballot().toString(),
                        view == null ? "" : ReplicaState.names(view.members())));
        state.actions().statusChanged();
    }
}
