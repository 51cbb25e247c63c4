package brambletray.platform.replication;

/**
 * The part of a member that follows: keeps what the leader sends, answers its beats, stops for a change of view, and
 * begins one itself when the leader is silent. The order of rank (the leader first, then as in the list) and the
 * patience that grows with it keep two from beginning at once.
 */
final class FollowerState {
    private static final int INITIAL_TIMEOUT_MS = 100;
    private static final int DISCONNECT_TIMEOUT_MS = 250;
    private static final int LEADER_HEALTHY_MS = 350;
    /**
     * Silence after which the part of a log that has come is dropped: longer than a change of view after the loss of
     * its proposer.
     */
    private static final int TRANSFER_IDLE_TIMEOUT_MS = 10_000;

    private final ReplicaState state;
    private final Replica replica;
    private long leaderHeardAtMs;
    private boolean leaderSeen;
    private long leaderDisconnectedAtMs = Long.MIN_VALUE / 2;
    private long leaderLeavingSinceMs = -1;
    private long noElectionBeforeMs = Long.MIN_VALUE / 2;
    /** In force, later than ours, and we aren't in it. */
    private View successorView;
    /** The log of a view that is being installed, on its way here in pieces. */
    private StateTransferClient transfer;

    private ReplicationMessage.InstallViewOffer pendingOffer;

    FollowerState(ReplicaState state, Replica members) {
        this.state = state;
        this.replica = members;
        this.leaderHeardAtMs = state.nowMs;
    }

    /** Whether a later view is known to be in force without this member. */
    boolean isExcluded() {
        return successorView != null;
    }

    /** The later view, when fallen. */
    View successorView() {
        return successorView;
    }

    /** Whether the leader has been heard of late. */
    boolean leaderIsHealthy() {
        return leaderSeen && leaderLeavingSinceMs < 0 && state.nowMs - leaderHeardAtMs <= LEADER_HEALTHY_MS;
    }

    /** Whether no leader has been heard since the start of the process. */
    boolean noLeaderSeenYet() {
        return !leaderSeen;
    }

    /** Nobody is suspected until spans have run anew. */
    void resetTimers() {
        leaderHeardAtMs = state.nowMs;
        leaderDisconnectedAtMs = Long.MIN_VALUE / 2;
    }

    /** The leader is about to end: the next in rank takes over at once. */
    void onLeaderLeaving() {
        if (leaderLeavingSinceMs < 0) {
            leaderLeavingSinceMs = state.nowMs;
        }
    }

    /** Whether the leader has said that it is about to end. */
    boolean leaderIsLeaving() {
        return leaderLeavingSinceMs >= 0;
    }

    /** No attempt of our own before this span is over. */
    void postponeElection(long ms) {
        noElectionBeforeMs = Math.max(noElectionBeforeMs, state.nowMs + ms);
    }

    void onViewInstalled() {
        successorView = null;
        transfer = null;
        leaderLeavingSinceMs = -1;
        leaderHeardAtMs = state.nowMs;
        noElectionBeforeMs = Long.MIN_VALUE / 2;
        leaderSeen = true;
    }

    int rank() {
        int rank = 0;
        for (Member member : state.view.members()) {
            if (member.address().equals(state.self.address())) {
                return rank;
            }
            rank++;
        }
        return rank;
    }

    void onDisconnected(String address) {
        Member leader = state.view == null ? null : state.view.leader();
        if (leader != null && leader.address().equals(address)) {
            leaderDisconnectedAtMs = state.nowMs;
        }
    }

    /** Whether it is time to begin a change: the leader has been silent for long enough. */
    boolean electionTimeoutExpired() {
        if (state.view == null || successorView != null || state.nowMs < noElectionBeforeMs) {
            return false;
        }
        if (leaderLeavingSinceMs >= 0) {
            return state.nowMs - leaderLeavingSinceMs >= (long) (rank() - 1) * state.settings.rankDelayMs();
        }
        int patience = leaderSeen ? state.settings.electionTimeoutMs() : INITIAL_TIMEOUT_MS;
        if (leaderSeen && leaderDisconnectedAtMs >= leaderHeardAtMs && state.nowMs - leaderDisconnectedAtMs < 2000) {
            patience = DISCONNECT_TIMEOUT_MS;
        }
        return state.nowMs - leaderHeardAtMs > patience + (long) rank() * state.settings.rankDelayMs();
    }

    void onHeartbeat(String from, ReplicationMessage.HeartbeatRequest heartbeat) {
        View view = state.view;
        if (view == null || !view.ballot().equals(heartbeat.viewBallot())) {
            boolean old = view != null
                    && state.active
                    && view.ballot().isAbove(heartbeat.viewBallot())
                    && !view.contains(heartbeat.viewBallot().proposer());
            if (old) {
                state.actions.send(from, new ReplicationMessage.NotMember(view));
            }
            return;
        }
        if (replica.isLeader()) {
            return;
        }
        if (!state.hasPromisedHigherBallot()) {
            if (!heartbeat.diskUnhealthy()) {
                leaderHeardAtMs = state.nowMs;
            }
            leaderSeen = true;
            state.viewStartIndex = heartbeat.viewStartIndex();
            if (heartbeat.active() && !state.active) {
                state.activateView();
                replica.onViewActivated();
            }
            state.advanceCommit(heartbeat.commitIndex());
        }
        state.actions.send(
                from,
                new ReplicationMessage.HeartbeatResponse(
                        view.ballot(),
                        state.self.incarnation(),
                        heartbeat.sequence(),
                        state.durableIndex,
                        state.promisedBallot,
                        state.diskUnhealthy()));
    }

    void onAppend(String from, ReplicationMessage.AppendRequest append) {
        if (!state.isOperationalIn(append.viewBallot()) || replica.isLeader()) {
            return;
        }
        leaderHeardAtMs = state.nowMs;
        leaderSeen = true;
        if (append.previousIndex() > state.log.lastIndex() || state.writeAheadQueue.hasOpenBytesAbove(8 << 20)) {
            return;
        }
        Ballot at = state.log.viewAt(append.previousIndex());
        if (at != null && !at.equals(append.previousView())) {
            state.actions.log(new ReplicationEvent.LogsDiffer(
                    append.viewBallot(), append.previousIndex(), at, append.previousView()));
            return;
        }
        long before = state.log.lastIndex();
        for (LogEntry entry : append.entries()) {
            if (entry.index() == state.log.lastIndex() + 1) {
                state.append(entry);
            }
        }
        long end = state.log.lastIndex();
        if (end > before) {
            View view = state.view;
            state.writeAheadQueue.onSynced(() -> {
                if (!state.view.ballot().equals(view.ballot())) {
                    return;
                }
                state.durableIndex = Math.max(state.durableIndex, end);
                if (!state.hasPromisedHigherBallot()) {
                    state.actions.send(
                            from, new ReplicationMessage.AppendResponse(view.ballot(), state.self.incarnation(), end));
                }
            });
        } else if (!append.entries().isEmpty()) {
            state.actions.send(
                    from,
                    new ReplicationMessage.AppendResponse(
                            state.view.ballot(), state.self.incarnation(), state.durableIndex));
        }
        state.advanceCommit(append.commitIndex());
    }

    void onPrepare(String from, ReplicationMessage.PrepareRequest stop) {
        View view = state.view == null ? View.NONE : state.view;
        boolean firm = state.active && !view.isFounding();
        if (firm && !view.contains(stop.proposer().incarnation())) {
            state.actions.send(from, new ReplicationMessage.NotMember(view));
            return;
        }
        state.highestSeenNumber =
                Math.max(state.highestSeenNumber, stop.ballot().number());
        state.retire(stop.retiredIncarnations());
        Ballot most = replica.highestReservedBallot();
        if (most.isAbove(stop.ballot()) || stop.ballot().number() <= view.number()) {
            state.actions.send(from, new ReplicationMessage.BallotRejected(stop.ballot(), most, false));
            return;
        }
        if (!state.promisedBallot.equals(stop.ballot())) {
            boolean leader = stop.proposer().incarnation() == view.ballot().proposer();
            if (firm
                    && !state.hasPromisedHigherBallot()
                    && !leader
                    && (replica.isLeader() ? replica.hasActiveQuorum() : leaderIsHealthy())) {
                state.actions.send(from, new ReplicationMessage.BallotRejected(stop.ballot(), most, true));
                return;
            }
            replica.abandonLeadership();
            state.promise(stop.ballot());
            int wait = (view.isFounding() ? state.settings.foundingGraceMs() : 0) + state.settings.electionTimeoutMs();
            postponeElection(wait + (state.view == null ? 0 : (long) rank() * state.settings.rankDelayMs()));
            state.actions.log(new ReplicationEvent.BallotPromised(
                    stop.ballot(), stop.proposer().name(), view.ballot(), state.log.lastIndex()));
        }
        state.writeAheadQueue.onSynced(() -> {
            boolean over = state.view != null && state.view.ballot().equals(stop.ballot());
            if (state.promisedBallot.equals(stop.ballot()) && !over) {
                state.actions.send(from, state.prepareResponse(stop.ballot()));
            }
        });
    }

    void successorView(ReplicationMessage.NotMember gone) {
        View view = gone.view();
        if (state.view == null
                || !view.ballot().isAbove(state.view.ballot())
                || view.contains(state.self.incarnation())) {
            return;
        }
        if (successorView == null || view.ballot().isAbove(successorView.ballot())) {
            successorView = view;
            for (Member member : view.members()) {
                state.addKnownAddress(member.address());
            }
            replica.abandonLeadership();
            state.actions.log(new ReplicationEvent.ExcludedFromView(
                    state.view.ballot(), view.ballot(), ReplicaState.names(view.members())));
            state.actions.statusChanged();
        }
    }

    /**
     * A proposed view whose log is longer than a frame may be: it is fetched first, while no higher promise forbids it.
     */
    void onInstallViewOffer(String from, ReplicationMessage.InstallViewOffer offer, ReplicatedLog base) {
        View next = offer.view();
        if (!next.contains(state.self.incarnation())) {
            return;
        }
        boolean durableState = state.view != null && state.view.ballot().equals(next.ballot());
        if (durableState || state.promisedBallot.isAbove(next.ballot())) {
            onInstallView(from, new ReplicationMessage.InstallViewRequest(next, null), base);
        } else {
            // the same log, offered anew, perhaps by another proposer: what has come of it stays
            boolean response = transfer != null
                    && pendingOffer.lastIndex() == offer.lastIndex()
                    && pendingOffer.lastView().equals(offer.lastView());
            pendingOffer = offer;
            if (response && transfer.source().equals(from) && !transfer.failed()) {
                transfer.continueForView(next.ballot());
            } else if (response && transfer.isResumable()) {
                transfer.resume(from, next.ballot());
            } else {
                transfer = new StateTransferClient(state, from, base, next.ballot());
                transfer.tick();
            }
        }
    }

    void onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        if (transfer == null) {
            return;
        }
        boolean over = transfer.onChunk(chunk);
        // it is about to be in a view: an attempt of its own would end the transfer
        postponeElection(state.settings.electionTimeoutMs()
                + (state.view == null ? 0 : (long) rank() * state.settings.rankDelayMs()));
        if (!over) {
            return;
        }
        ReplicatedLog log = transfer.log();
        String from = transfer.source();
        transfer = null;
        if (log == null
                || log.lastIndex() != pendingOffer.lastIndex()
                || !log.lastView().equals(pendingOffer.lastView())) {
            return;
        }
        if (!state.promisedBallot.isAbove(pendingOffer.view().ballot())) {
            acceptView(from, pendingOffer.view(), log);
        }
    }

    void tick() {
        if (transfer == null) {
            return;
        }
        boolean useless = transfer.failed() && !transfer.isResumable();
        if (useless || transfer.idleMs() > TRANSFER_IDLE_TIMEOUT_MS) {
            transfer = null;
        }
        // a later change of view is under way: if it offers the same log, what has come stays
        else if (!state.promisedBallot.isAbove(transfer.viewBallot())) {
            transfer.tick();
        }
    }

    /** A proposed view: kept if no higher promise forbids it and the patch fits. */
    void onInstallView(String from, ReplicationMessage.InstallViewRequest install, ReplicatedLog base) {
        View next = install.view();
        if (!next.contains(state.self.incarnation())) {
            return;
        }
        if (state.leaving && (state.view == null || successorView != null)) {
            // let in by a knock that is older than its leaving: nobody is to wait for it
            state.actions.send(from, new ReplicationMessage.PatchMismatch(next.ballot(), state.self.incarnation()));
            return;
        }
        if (state.promisedBallot.isAbove(next.ballot())) {
            state.actions.send(from, new ReplicationMessage.BallotRejected(next.ballot(), state.promisedBallot, false));
            return;
        }
        if (state.view == null || !state.view.ballot().equals(next.ballot())) {
            ReplicatedLog chosen = base.patched(install.patch());
            acceptView(from, next, chosen != null ? chosen : state.log.patched(install.patch()));
            return;
        }
        respondOnceSynced(from, next);
    }

    private void acceptView(String from, View next, ReplicatedLog chosen) {
        if (chosen == null || !state.acceptView(next, chosen)) {
            state.actions.send(from, new ReplicationMessage.PatchMismatch(next.ballot(), state.self.incarnation()));
            return;
        }
        replica.abandonLeadership();
        onViewInstalled();
        replica.onViewAccepted();
        respondOnceSynced(from, next);
    }

    private void respondOnceSynced(String from, View next) {
        state.writeAheadQueue.onSynced(() -> {
            if (state.isOperationalIn(next.ballot())) {
                state.actions.send(
                        from, new ReplicationMessage.InstallViewResponse(next.ballot(), state.self.incarnation()));
            }
        });
    }
}
