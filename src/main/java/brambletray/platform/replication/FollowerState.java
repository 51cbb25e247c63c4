package brambletray.platform.replication;

/**
 * A member that is not the leader: appends the leader's entries, answers its heartbeats, and stops when another member
 * starts a view change. Invariant: it never acknowledges anything under a ballot lower than the promised one, nor
 * anything that is not on disk.
 */
final class FollowerState {
    /** Limit of bytes waiting for the disk. Above it, appends are ignored; the leader retransmits them. */
    private static final int MAX_QUEUED_BYTES = 8 << 20;

    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;

    FollowerState(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
    }

    void onHeartbeat(String from, ReplicationMessage.HeartbeatRequest heartbeat) {
        View view = state.view();
        if (view == null || !view.ballot().equals(heartbeat.viewBallot())) {
            if (isFromExcludedLeader(heartbeat.viewBallot())) {
                state.actions().send(from, new ReplicationMessage.NotMember(view));
            }
            return;
        }
        if (roles.isLeader()) {
            return;
        }
        if (!state.hasPromisedHigherBallot()) {
            followHeartbeat(heartbeat);
        }
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.HeartbeatResponse(
                                view.ballot(),
                                state.self().incarnation(),
                                heartbeat.sequence(),
                                state.durableIndex(),
                                state.promisedBallot(),
                                state.diskUnhealthy()));
    }

    private void followHeartbeat(ReplicationMessage.HeartbeatRequest heartbeat) {
        if (heartbeat.diskUnhealthy()) {
            leaderMonitor.onUnhealthyLeaderHeard();
        } else {
            leaderMonitor.onLeaderHeard();
        }
        state.commits().setViewStartIndex(heartbeat.viewStartIndex());
        if (heartbeat.active() && !state.isActive()) {
            state.activateView();
            roles.onViewActivated();
        }
        state.advanceCommit(heartbeat.commitIndex());
    }

    /** Whether this is the ballot of an earlier view whose leader is not a member of the active view. */
    private boolean isFromExcludedLeader(Ballot ballot) {
        View view = state.view();
        return view != null && state.isActive() && view.ballot().isAbove(ballot) && !view.contains(ballot.proposer());
    }

    void onAppend(String from, ReplicationMessage.AppendRequest request) {
        if (!state.isOperationalIn(request.viewBallot()) || roles.isLeader()) {
            return;
        }
        leaderMonitor.onLeaderHeard();
        boolean gap = request.previousIndex() > state.log().lastIndex();
        if (gap || state.writeAheadQueue().hasOpenBytesAbove(MAX_QUEUED_BYTES)) {
            return;
        }
        Ballot ownView = state.log().viewAt(request.previousIndex());
        if (ownView != null && !ownView.equals(request.previousView())) {
            state.actions()
                    .log(new ReplicationEvent.LogsDiffer(
                            request.viewBallot(), request.previousIndex(), ownView, request.previousView()));
            return;
        }
        long before = state.log().lastIndex();
        appendNew(request);
        if (state.log().lastIndex() > before) {
            acknowledgeOnceSynced(from);
        } else if (!request.entries().isEmpty()) {
            acknowledge(from, state.view().ballot(), state.durableIndex());
        }
        state.advanceCommit(request.commitIndex());
    }

    private void appendNew(ReplicationMessage.AppendRequest request) {
        for (LogEntry entry : request.entries()) {
            if (entry.index() == state.log().lastIndex() + 1) {
                state.append(entry);
            }
        }
    }

    private void acknowledgeOnceSynced(String from) {
        Ballot viewBallot = state.view().ballot();
        long lastIndex = state.log().lastIndex();
        state.writeAheadQueue().onSynced(() -> {
            if (!state.view().ballot().equals(viewBallot)) {
                return;
            }
            state.commits().advanceDurable(lastIndex);
            if (!state.hasPromisedHigherBallot()) {
                acknowledge(from, viewBallot, lastIndex);
            }
        });
    }

    private void acknowledge(String from, Ballot viewBallot, long durableIndex) {
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.AppendResponse(
                                viewBallot, state.self().incarnation(), durableIndex));
    }

    /**
     * Handles another member's view change: stops for it unless a higher ballot is reserved or the leader is healthy.
     */
    void onPrepare(String from, ReplicationMessage.PrepareRequest request) {
        View view = state.view() == null ? View.NONE : state.view();
        boolean inActiveView = state.isActive() && !view.isFounding();
        if (inActiveView && !view.contains(request.proposer().incarnation())) {
            state.actions().send(from, new ReplicationMessage.NotMember(view));
            return;
        }
        state.ballots().observe(request.ballot().number());
        state.retire(request.retiredIncarnations());
        Ballot reserved = roles.highestReservedBallot();
        if (reserved.isAbove(request.ballot()) || request.ballot().number() <= view.number()) {
            reject(from, request, reserved, false);
            return;
        }
        if (!state.promisedBallot().equals(request.ballot())) {
            if (inActiveView && leaderIsHealthyAgainst(request)) {
                reject(from, request, reserved, true);
                return;
            }
            promise(request, view);
        }
        state.writeAheadQueue().onSynced(() -> {
            boolean installed = state.view() != null && state.view().ballot().equals(request.ballot());
            if (state.promisedBallot().equals(request.ballot()) && !installed) {
                state.actions().send(from, state.prepareResponse(request.ballot()));
            }
        });
    }

    /** Whether the leader of the view is healthy and is not the proposer itself. */
    private boolean leaderIsHealthyAgainst(ReplicationMessage.PrepareRequest request) {
        boolean fromLeader =
                request.proposer().incarnation() == state.view().ballot().proposer();
        if (state.hasPromisedHigherBallot() || fromLeader) {
            return false;
        }
        return roles.isLeader() ? roles.hasActiveQuorum() : leaderMonitor.leaderIsHealthy();
    }

    private void promise(ReplicationMessage.PrepareRequest request, View view) {
        roles.abandonLeadership();
        state.promise(request.ballot());
        int graceMs = view.isFounding() ? state.settings().foundingGraceMs() : 0;
        leaderMonitor.postponeElection(graceMs + state.settings().electionTimeoutMs() + leaderMonitor.rankDelayMs());
        state.actions()
                .log(new ReplicationEvent.BallotPromised(
                        request.ballot(),
                        request.proposer().name(),
                        view.ballot(),
                        state.log().lastIndex()));
    }

    private void reject(
            String from, ReplicationMessage.PrepareRequest request, Ballot reserved, boolean leaderIsHealthy) {
        state.actions().send(from, new ReplicationMessage.BallotRejected(request.ballot(), reserved, leaderIsHealthy));
    }
}
