package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.util.function.Consumer;

/**
 * The candidate's side: decides when this member requests the lease, and when it has won. Members become candidates in
 * the order of their rank in the view, each a delay after the one before it. A candidate first probes whether voters
 * would grant the lease and requests it only then, as a probe does not change the voters' state.
 */
final class LeaseCandidate {
    /** Bits of a term below the number of its view. */
    private static final int TERM_BITS_PER_VIEW = 20;

    private static final int RETRY_INTERVAL_MS = 150;
    private static final int MIN_RETRY_MS = 20;
    private static final int NAMED_SUCCESSOR_WAIT_MS = 600;
    private static final int FIRST_LEASE_WAIT_MS = 300;

    private final ElectionState state;
    private final HeldLease heldLease;
    private final Consumer<ElectionMessage> deliverToSelf;
    /**
     * Number of the last view in which this incarnation held the lease before its process ended; 0 for none, and once
     * it has won the lease again or granted it to another member. Its own lease ended with its process. Any later
     * holder was granted the lease by a majority of that view or of a later one. A view that descends from that view
     * ({@link ElectionView#descendsFrom}) has a member of each such majority, which refuses until that lease has
     * expired. So once all members of such a view have granted the lease, this member need not wait.
     */
    private long resumableViewNumber;

    private boolean wantsLease = true;
    private long highestSeenTerm;

    LeaseCandidate(ElectionState state, HeldLease heldLease, Consumer<ElectionMessage> deliverToSelf) {
        this.state = state;
        this.heldLease = heldLease;
        this.deliverToSelf = deliverToSelf;
        resumableViewNumber = state.voter().previouslyHeldInView(state.self().incarnation());
    }

    /** Sets whether this process competes for the lease; one that is shutting down does not. */
    void setWantsLease(boolean wanted) {
        wantsLease = wanted;
    }

    boolean wantsLease() {
        return wantsLease;
    }

    /** Another member was granted the lease: the lease held before the restart can no longer be resumed. */
    void endResumption() {
        resumableViewNumber = 0;
    }

    /** Starts a candidacy if the lease is free and it is this member's turn. */
    void startIfEligible() {
        if (!state.mayStartCandidacy()) {
            return;
        }
        if (resumableViewNumber != 0) {
            start(true);
            return;
        }
        int rank = state.view().rank(state.self().incarnation());
        if (state.voter().remainingMs(state.nowMs()) > 0 || rank < 0) {
            return;
        }
        ElectionView view = state.view();
        int voterLeaseMs = state.timings().voterLeaseMs();
        long freeSinceMs = view.knowsUnexpiredLeases(state.nowMs(), voterLeaseMs)
                ? view.activeSinceMs()
                : view.activeSinceMs() + voterLeaseMs;
        if (state.nowMs() - Math.max(state.voter().leaseExpiresAtMs(), freeSinceMs) >= waitMs(rank)) {
            start(true);
        }
    }

    /** Delay, in ms, that gives precedence to lower ranks and to the successor named by the last holder. */
    private long waitMs(int rank) {
        long rankWaitMs = (long) rank * state.timings().rankDelayMs();
        long successor = state.voter().namedSuccessor();
        if (successor != 0) {
            return successor == state.self().incarnation() ? 0 : NAMED_SUCCESSOR_WAIT_MS + rankWaitMs;
        }
        boolean firstLease = state.voter().grantedTerm() == 0;
        return firstLease && rank > 0 ? FIRST_LEASE_WAIT_MS + rankWaitMs : rankWaitMs;
    }

    private void start(boolean probe) {
        long viewNumber = state.view().viewNumber();
        long seenTerm = Math.max(state.voter().grantedTerm(), highestSeenTerm);
        long term = Math.max(seenTerm, viewNumber << TERM_BITS_PER_VIEW) + 1;
        if (term >= (viewNumber + 1) << TERM_BITS_PER_VIEW) {
            return;
        }
        state.startAttempt(new LeaseAttempt(term, probe, state.nowMs()));
        request();
    }

    /** Sends or resends the request of the current candidacy when due; abandons the candidacy once it times out. */
    void request() {
        LeaseAttempt attempt = state.attempt();
        boolean timedOut =
                state.nowMs() - attempt.startedAtMs() > state.timings().holderLeaseMs();
        if (!state.view().isMember() || timedOut) {
            abandon(RETRY_INTERVAL_MS);
            return;
        }
        if (state.nowMs() - attempt.lastSentAtMs() < RETRY_INTERVAL_MS) {
            return;
        }
        ElectionMessage.LeaseRequest request = new ElectionMessage.LeaseRequest(
                state.role(),
                attempt.isProbe(),
                state.view().viewNumber(),
                attempt.term(),
                attempt.nextSequence(state.nowMs()),
                state.self(),
                resumableViewNumber);
        state.sendToOthers(request);
        deliverToSelf.accept(request);
    }

    void onGranted(ElectionMessage.LeaseGranted granted) {
        LeaseAttempt attempt = state.attempt();
        if (attempt == null || attempt.term() != granted.term() || attempt.isProbe() != granted.probe()) {
            return;
        }
        attempt.onGranted(granted.voterIncarnation(), granted.sequence());
        if (granted.viewDescends() && resumableViewNumber != 0) {
            attempt.markViewDescends();
        }
        evaluateGrants();
    }

    /**
     * Checks whether the attempt has enough grants. A majority suffices once all leases of earlier views must have
     * expired. Before that, all members must have granted, and any unexpired lease must be known to one of them, which
     * would have refused: the previous view was active here for at least a lease duration, or this view descends from
     * the one in which this member held the lease.
     */
    private void evaluateGrants() {
        if (!state.isCandidate()) {
            return;
        }
        LeaseAttempt attempt = state.attempt();
        ElectionView view = state.view();
        long grantedAtMs = attempt.majorityGrantedAtMs(view.members());
        if (state.nowMs() - grantedAtMs >= state.timings().holderLeaseMs()) {
            return;
        }
        int voterLeaseMs = state.timings().voterLeaseMs();
        boolean grantedByAll = attempt.isGrantedByAll(view.members());
        boolean knowsAllLeases = view.knowsUnexpiredLeases(state.nowMs(), voterLeaseMs) || attempt.viewDescends();
        boolean earlierLeasesMayBeValid = state.nowMs() - view.activeSinceMs() < voterLeaseMs;
        if (earlierLeasesMayBeValid && !(grantedByAll && knowsAllLeases)) {
            if (grantedByAll && resumableViewNumber != 0) {
                abandonResumption();
            }
        } else if (attempt.isProbe()) {
            start(false);
        } else {
            win(attempt);
        }
    }

    private void win(LeaseAttempt attempt) {
        attempt.markWon();
        resumableViewNumber = 0;
        state.actions()
                .log(new ElectionEvent.Won(
                        state.role(), attempt.term(), state.view().viewNumber()));
        state.actions().won(attempt.term());
        heldLease.renew();
    }

    /**
     * All members would grant, but none has confirmed that this view descends from the one in which the lease was held:
     * falls back to waiting until earlier leases have expired.
     */
    private void abandonResumption() {
        resumableViewNumber = 0;
        if (state.attempt().isProbe()) {
            state.endAttempt();
        }
    }

    void onDenied(ElectionMessage.LeaseDenied denied) {
        if (denied.grantedTerm() >>> TERM_BITS_PER_VIEW <= state.view().viewNumber()) {
            highestSeenTerm = Math.max(highestSeenTerm, denied.grantedTerm());
        }
        if (!state.isCandidate() || state.attempt().term() != denied.term()) {
            return;
        }
        boolean majorityImpossible =
                state.attempt().onDenied(denied.voterIncarnation(), state.view().members());
        if (majorityImpossible) {
            abandon(Math.max(MIN_RETRY_MS, Math.min(denied.remainingMs(), RETRY_INTERVAL_MS)));
        }
    }

    /** This member's own voter has refused. */
    void onDeniedBySelf() {
        if (state.isCandidate()) {
            abandon(RETRY_INTERVAL_MS);
        }
    }

    /** Another member is a candidate: this member, while it is still probing, yields to a member of lower rank. */
    void onOtherCandidate(Member other) {
        ElectionView view = state.view();
        boolean yields = state.attempt() != null
                && state.attempt().isProbe()
                && view.rank(other.incarnation()) < view.rank(state.self().incarnation());
        if (yields) {
            abandon(2 * state.timings().rankDelayMs());
        }
    }

    /** Ends the candidacy for now, and releases it so that voters that granted it need not wait for it to expire. */
    private void abandon(int pauseMs) {
        LeaseAttempt attempt = state.attempt();
        long incarnation = state.self().incarnation();
        if (!attempt.isProbe()) {
            state.voter().release(attempt.term(), incarnation, 0, state.nowMs());
            state.sendToOthers(new ElectionMessage.LeaseReleased(state.role(), attempt.term(), incarnation, 0));
        }
        state.endAttempt();
        long rankWaitMs = (long) Math.max(0, state.view().rank(incarnation))
                * state.timings().rankDelayMs()
                / 2;
        state.setNoCandidacyBefore(state.nowMs() + pauseMs + rankWaitMs);
    }

    /** The holder has released its lease; starts a candidacy at once if it named this member as its successor. */
    void onReleased(ElectionMessage.LeaseReleased released) {
        boolean known = state.voter()
                .release(released.term(), released.holderIncarnation(), released.successorIncarnation(), state.nowMs());
        if (!known || released.successorIncarnation() != state.self().incarnation()) {
            return;
        }
        state.setNoCandidacyBefore(state.nowMs());
        if (state.attempt() == null && state.view().isMember() && wantsLease) {
            startIfEligible();
        }
    }
}
