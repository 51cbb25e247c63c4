package brambletray.platform.election;

import java.util.function.Consumer;

/**
 * The voter's side: answers requests for the lease and for its renewal, including this member's own. A grant is on disk
 * before the answer is sent ({@link LeaseVoter}). Requests of another view are not answered.
 */
final class LeaseRequestHandler {
    private final ElectionState state;
    private final LeaseCandidate candidate;
    private final Consumer<ElectionMessage> deliverToSelf;

    LeaseRequestHandler(ElectionState state, LeaseCandidate candidate, Consumer<ElectionMessage> deliverToSelf) {
        this.state = state;
        this.candidate = candidate;
        this.deliverToSelf = deliverToSelf;
    }

    /** Handles a lease request; {@code from}: address of the candidate, null if this member is the candidate. */
    void onLeaseRequest(String from, ElectionMessage.LeaseRequest request) {
        if (!isOfThisView(request.viewNumber())) {
            return;
        }
        if (!state.voter().wouldGrant(request.term(), request.candidate().incarnation(), state.nowMs())) {
            if (from == null) {
                candidate.onDeniedBySelf();
            } else {
                deny(from, request.term(), state.voter().remainingMs(state.nowMs()));
            }
            return;
        }
        if (from != null) {
            candidate.onOtherCandidate(request.candidate());
        }
        if (request.probe()) {
            sendGrant(from, request);
            return;
        }
        if (from != null) {
            candidate.endResumption();
        }
        state.voter().grant(request.term(), request.candidate(), state.nowMs(), () -> sendGrant(from, request));
    }

    private void sendGrant(String from, ElectionMessage.LeaseRequest request) {
        boolean descends =
                request.previouslyHeldInView() != 0 && state.view().descendsFrom(request.previouslyHeldInView());
        answer(
                from,
                new ElectionMessage.LeaseGranted(
                        state.role(),
                        request.probe(),
                        request.term(),
                        request.sequence(),
                        state.self().incarnation(),
                        descends));
    }

    /** {@code from}: address of the holder; null for this member itself. */
    void onRenewRequest(String from, ElectionMessage.RenewRequest request) {
        if (!isOfThisView(request.viewNumber())) {
            return;
        }
        ElectionMessage.RenewGranted granted = new ElectionMessage.RenewGranted(
                state.role(), request.term(), request.sequence(), state.self().incarnation());
        boolean renewed = state.voter()
                .renew(
                        request.viewNumber(),
                        request.term(),
                        request.holder(),
                        state.nowMs(),
                        () -> answer(from, granted));
        if (from == null) {
            return;
        }
        if (renewed) {
            candidate.endResumption();
        } else {
            deny(from, request.term(), 0);
        }
    }

    private boolean isOfThisView(long viewNumber) {
        return state.view().isMember() && viewNumber == state.view().viewNumber();
    }

    private void deny(String to, long term, int remainingMs) {
        state.actions()
                .send(
                        to,
                        new ElectionMessage.LeaseDenied(
                                state.role(),
                                term,
                                state.voter().grantedTerm(),
                                remainingMs,
                                state.self().incarnation()));
    }

    private void answer(String to, ElectionMessage message) {
        if (to != null) {
            state.actions().send(to, message);
        } else {
            deliverToSelf.accept(message);
        }
    }
}
