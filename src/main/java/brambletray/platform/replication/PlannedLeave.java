package brambletray.platform.replication;

/**
 * The part of a member that is about to end as planned: leadership transfer, then a reconfiguration without it. A
 * leader begins nothing more, lets what is under way be kept and newcomers in, and only then says Bye, so that the next
 * in rank leads at once; any other member says it to the leader, which changes the view. It is said again until a view
 * without this member is in force. That view has to bear the losses; while the rest doesn't (two members, no newcomer),
 * this member stays, for as long as it may.
 */
final class PlannedLeave {
    /** ms between two Byes: one may be lost, or may come to who can't act on it yet. */
    private static final int RETRY_INTERVAL_MS = 100;
    /** ms for what is under way to be kept; longer only when a member is in trouble. */
    private static final int DRAIN_TIMEOUT_MS = 300;

    private final ReplicaState state;
    private final Replica replica;
    private final long startedAtMs;
    private long announcedAtMs = Long.MIN_VALUE / 2;
    private long drainingSinceMs;
    private String endReason;

    PlannedLeave(ReplicaState state, Replica replica) {
        this.state = state;
        this.replica = replica;
        startedAtMs = state.nowMs();
        state.actions()
                .log(new ReplicationEvent.LeaveStarted(
                        state.viewName(),
                        replica.isLeader(),
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
        boolean member = state.view() != null && !state.view().isFounding() && !replica.isExcluded();
        if (!member) {
            end(state.view() == null || state.view().isFounding() ? "not a member" : "gone on without it");
        } else if (state.nowMs() - startedAtMs >= state.settings().leaveTimeoutMs()) {
            end("nobody has gone on without it in time");
        } else if (state.view().members().size() == 1 && !replica.hasNewcomers()) {
            end("alone");
        } else if (replica.viewChange() == null
                && state.nowMs() - announcedAtMs >= RETRY_INTERVAL_MS
                && (!replica.isLeader() || isDrained())) {
            announce();
        }
    }

    /**
     * Whether this leader has nothing to finish first: newcomers that are on their way (for half of what it has, at
     * most), the last change of view, and then what is under way.
     */
    private boolean isDrained() {
        boolean settles = !replica.hasBeenLeaderForAWhile() || replica.hasNewcomers();
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
        View view = replica.successorView() != null ? replica.successorView() : state.view();
        state.actions()
                .log(new ReplicationEvent.LeaveFinished(
                        how,
                        state.nowMs() - startedAtMs,
                        view == null ? "none" : view.ballot().toString(),
                        view == null ? "" : ReplicaState.names(view.members())));
        state.actions().statusChanged();
    }
}
