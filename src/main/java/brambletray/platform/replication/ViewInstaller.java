package brambletray.platform.replication;

/**
 * Installs the views that other members propose: takes the log that comes with the proposal, or fetches it in chunks
 * where it is longer than a message may be. A view is accepted unless a higher ballot is promised; the proposer hears
 * of it once view and log are on disk.
 */
final class ViewInstaller {
    /** Silence after which a half-fetched log is dropped: longer than a view change after the loss of its proposer. */
    private static final int TRANSFER_IDLE_TIMEOUT_MS = 10_000;

    private final ReplicaState state;
    private final RoleState roles;
    private final LeaderMonitor leaderMonitor;
    private StateTransferClient transfer;
    private ReplicationMessage.InstallViewOffer pendingOffer;

    ViewInstaller(ReplicaState state, RoleState roles, LeaderMonitor leaderMonitor) {
        this.state = state;
        this.roles = roles;
        this.leaderMonitor = leaderMonitor;
    }

    /** A view whose log the message holds; {@code base}: the log that the patch is applied to. */
    void onInstallView(String from, ReplicationMessage.InstallViewRequest request, ReplicatedLog base) {
        View next = request.view();
        if (!next.contains(state.self().incarnation())) {
            return;
        }
        if (state.isLeaving() && (state.view() == null || roles.isExcluded())) {
            // admitted by a join request from before this process was to end: nobody is to wait for it
            reject(from, next);
            return;
        }
        if (state.promisedBallot().isAbove(next.ballot())) {
            state.actions()
                    .send(from, new ReplicationMessage.BallotRejected(next.ballot(), state.promisedBallot(), false));
            return;
        }
        if (isInstalled(next)) {
            respondOnceSynced(from, next);
            return;
        }
        ReplicatedLog chosen = base.patched(request.patch());
        accept(from, next, chosen != null ? chosen : state.log().patched(request.patch()));
    }

    /** A view whose log is to be fetched. */
    void onInstallViewOffer(String from, ReplicationMessage.InstallViewOffer offer, ReplicatedLog base) {
        View next = offer.view();
        if (!next.contains(state.self().incarnation())) {
            return;
        }
        if (isInstalled(next) || state.promisedBallot().isAbove(next.ballot())) {
            onInstallView(from, new ReplicationMessage.InstallViewRequest(next, null), base);
            return;
        }
        boolean sameLog = transfer != null && offersSameLog(offer);
        pendingOffer = offer;
        if (sameLog && transfer.source().equals(from) && !transfer.failed()) {
            transfer.continueForView(next.ballot());
        } else if (sameLog && transfer.isResumable()) {
            transfer.resume(from, next.ballot());
        } else {
            transfer = new StateTransferClient(state, from, base, next.ballot());
            transfer.tick();
        }
    }

    /** Whether the log is the one of the offer before, perhaps from another proposer: what was fetched stays. */
    private boolean offersSameLog(ReplicationMessage.InstallViewOffer offer) {
        return pendingOffer.lastIndex() == offer.lastIndex()
                && pendingOffer.lastView().equals(offer.lastView());
    }

    void onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        if (transfer == null) {
            return;
        }
        boolean over = transfer.onChunk(chunk);
        // about to be in a view: a view change of this member's own would end the transfer
        leaderMonitor.postponeElection(state.settings().electionTimeoutMs() + leaderMonitor.rankDelayMs());
        if (!over) {
            return;
        }
        ReplicatedLog log = transfer.log();
        String from = transfer.source();
        transfer = null;
        boolean asOffered = log != null
                && log.lastIndex() == pendingOffer.lastIndex()
                && log.lastView().equals(pendingOffer.lastView());
        if (asOffered && !state.promisedBallot().isAbove(pendingOffer.view().ballot())) {
            accept(from, pendingOffer.view(), log);
        }
    }

    void tick() {
        if (transfer == null) {
            return;
        }
        boolean useless = transfer.failed() && !transfer.isResumable();
        if (useless || transfer.idleMs() > TRANSFER_IDLE_TIMEOUT_MS) {
            transfer = null;
        } else if (!state.promisedBallot().isAbove(transfer.viewBallot())) {
            // after a higher promise the next proposer may offer the same log: what was fetched stays, nothing is
            // requested
            transfer.tick();
        }
    }

    /** A view is installed: whatever was being fetched is of no use. */
    void cancelTransfer() {
        transfer = null;
    }

    private boolean isInstalled(View next) {
        return state.view() != null && state.view().ballot().equals(next.ballot());
    }

    private void accept(String from, View next, ReplicatedLog chosen) {
        if (chosen == null || !state.acceptView(next, chosen)) {
            reject(from, next);
            return;
        }
        roles.becomeFollower();
        respondOnceSynced(from, next);
    }

    private void reject(String from, View next) {
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.PatchMismatch(
                                next.ballot(), state.self().incarnation()));
    }

    private void respondOnceSynced(String from, View next) {
        state.writeAheadQueue().onSynced(() -> {
            if (state.isOperationalIn(next.ballot())) {
                state.actions()
                        .send(
                                from,
                                new ReplicationMessage.InstallViewResponse(
                                        next.ballot(), state.self().incarnation()));
            }
        });
    }
}
