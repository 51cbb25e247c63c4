package brambletray.platform.replication;

/**
 * Installs the views that other members propose, with the log from the proposal or, if that is too large for a message,
 * a log fetched in chunks. A view is accepted unless a higher ballot has been promised; the proposer is notified once
 * view and log are on disk.
 */
final class ViewInstaller {
    /**
     * Time without a chunk after which a partially fetched log is dropped: longer than a view change that follows the
     * loss of the proposer.
     */
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

    /**
     * Handles a proposed view whose log is in the message.
     *
     * @param base the log that the patch applies to
     */
    void onInstallView(String from, ReplicationMessage.InstallViewRequest request, ReplicatedLog base) {
        View view = request.view();
        if (!view.contains(state.self().incarnation())) {
            return;
        }
        if (state.isLeaving() && (state.view() == null || roles.isExcluded())) {
            // admitted by a join request sent before the shutdown started: the others must not wait for this member
            reject(from, view);
            return;
        }
        if (state.promisedBallot().isAbove(view.ballot())) {
            state.actions()
                    .send(from, new ReplicationMessage.BallotRejected(view.ballot(), state.promisedBallot(), false));
            return;
        }
        if (isInstalled(view)) {
            respondOnceSynced(from, view);
            return;
        }
        ReplicatedLog patched = base.patched(request.patch());
        accept(from, view, patched != null ? patched : state.log().patched(request.patch()));
    }

    /** Handles a proposed view whose log has to be fetched. */
    void onInstallViewOffer(String from, ReplicationMessage.InstallViewOffer offer, ReplicatedLog base) {
        View view = offer.view();
        if (!view.contains(state.self().incarnation())) {
            return;
        }
        if (isInstalled(view) || state.promisedBallot().isAbove(view.ballot())) {
            onInstallView(from, new ReplicationMessage.InstallViewRequest(view, null), base);
            return;
        }
        boolean sameLog = transfer != null && offersSameLog(offer);
        pendingOffer = offer;
        if (sameLog && transfer.source().equals(from) && !transfer.failed()) {
            transfer.continueForView(view.ballot());
        } else if (sameLog && transfer.isResumable()) {
            transfer.resume(from, view.ballot());
        } else {
            transfer = new StateTransferClient(state, from, base, view.ballot());
            transfer.tick();
        }
    }

    /**
     * Whether the previous offer, perhaps from another proposer, was for the same log, so that its chunks are reusable.
     */
    private boolean offersSameLog(ReplicationMessage.InstallViewOffer offer) {
        return pendingOffer.lastIndex() == offer.lastIndex()
                && pendingOffer.lastView().equals(offer.lastView());
    }

    void onChunk(ReplicationMessage.FetchChunkResponse chunk) {
        if (transfer == null) {
            return;
        }
        boolean ended = transfer.onChunk(chunk);
        // this member is about to join a view; starting its own view change would abort the transfer
        leaderMonitor.postponeElection(state.settings().electionTimeoutMs() + leaderMonitor.rankDelayMs());
        if (!ended) {
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
        boolean unusable = transfer.failed() && !transfer.isResumable();
        if (unusable || transfer.idleMs() > TRANSFER_IDLE_TIMEOUT_MS) {
            transfer = null;
        } else if (!state.promisedBallot().isAbove(transfer.viewBallot())) {
            // after promising a higher ballot, requests stop but fetched chunks are kept: the next proposer may offer
            // the same log
            transfer.tick();
        }
    }

    /** Cancels the transfer, which is obsolete once a view is installed. */
    void cancelTransfer() {
        transfer = null;
    }

    private boolean isInstalled(View view) {
        return state.view() != null && state.view().ballot().equals(view.ballot());
    }

    private void accept(String from, View view, ReplicatedLog log) {
        if (log == null || !state.acceptView(view, log)) {
            reject(from, view);
            return;
        }
        roles.becomeFollower();
        respondOnceSynced(from, view);
    }

    private void reject(String from, View view) {
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.PatchMismatch(
                                view.ballot(), state.self().incarnation()));
    }

    private void respondOnceSynced(String from, View view) {
        state.writeAheadQueue().onSynced(() -> {
            if (state.isOperationalIn(view.ballot())) {
                state.actions()
                        .send(
                                from,
                                new ReplicationMessage.InstallViewResponse(
                                        view.ballot(), state.self().incarnation()));
            }
        });
    }
}
