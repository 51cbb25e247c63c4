package brambletray.platform.election;

import java.util.function.Consumer;

/**
 * The holder's side: renews the lease that this member has won, knows whether it may act under it at this moment, and
 * hands it over. Invariant: it acts for {@link LeaseTimings#holderLeaseMs} at most from the sending of what a majority
 * has granted.
 */
final class HeldLease {
    private final ElectionState state;
    private final Consumer<ElectionMessage> deliverToSelf;
    private long revalidateSinceMs = Long.MIN_VALUE / 2;
    private ElectionMessage.LeaseReleased release;
    private long releaseResendUntilMs;

    HeldLease(ElectionState state, Consumer<ElectionMessage> deliverToSelf) {
        this.state = state;
        this.deliverToSelf = deliverToSelf;
    }

    /** Renews the lease where that is due; gives it up where it has run out. */
    void tick() {
        LeaseAttempt attempt = state.attempt();
        ElectionView view = state.view();
        long grantedAtMs = attempt.majorityGrantedAtMs(view.members());
        boolean expired = state.nowMs() - grantedAtMs >= state.timings().voterLeaseMs();
        if (expired || (view.isMember() && view.rank(state.self().incarnation()) < 0)) {
            lose(expired ? "not renewed" : "not in the view");
        } else if (state.nowMs() - attempt.lastSentAtMs() >= state.timings().renewIntervalMs()) {
            renew();
        }
    }

    /** Asks all members to renew, this one included; where it is in no active view it waits for one. */
    void renew() {
        if (!state.view().isMember()) {
            return;
        }
        LeaseAttempt attempt = state.attempt();
        ElectionMessage.RenewRequest request = new ElectionMessage.RenewRequest(
                state.role(),
                state.view().viewNumber(),
                attempt.term(),
                attempt.nextSequence(state.nowMs()),
                state.self());
        state.sendToOthers(request);
        deliverToSelf.accept(request);
    }

    void onRenewed(ElectionMessage.RenewGranted granted) {
        if (state.isHolder() && state.attempt().term() == granted.term()) {
            state.attempt().onGranted(granted.voterIncarnation(), granted.sequence());
        }
    }

    private void lose(String reason) {
        long term = state.attempt().term();
        state.endAttempt();
        state.setNoCandidacyBefore(state.nowMs() + state.timings().renewIntervalMs());
        state.actions().log(new ElectionEvent.Lost(state.role(), term, reason));
        state.actions().lost(term);
    }

    /** Hands the lease over, if it is held here: stops acting at once and names the successor. */
    void handOver() {
        if (!state.isHolder()) {
            return;
        }
        long incarnation = state.self().incarnation();
        release = new ElectionMessage.LeaseReleased(
                state.role(), state.attempt().term(), incarnation, state.view().firstMemberExcept(incarnation));
        releaseResendUntilMs = state.nowMs() + state.timings().holderLeaseMs();
        lose("handed over");
        sendRelease();
    }

    /** Whether a lease was handed over and its release is still being sent. */
    boolean isReleasing() {
        return release != null;
    }

    /** Sends the release again: it may be lost, or reach a member before the view that it was sent in. */
    void sendRelease() {
        state.voter()
                .release(release.term(), release.holderIncarnation(), release.successorIncarnation(), state.nowMs());
        state.sendToOthers(release);
        if (state.nowMs() >= releaseResendUntilMs) {
            release = null;
        }
    }

    /** Whether this process may act under its term at this moment. */
    boolean mayAct(long timeMs) {
        if (!state.isHolder() || timeMs - state.lastTickAtMs() > state.timings().maxTickDelayMs()) {
            return false;
        }
        long grantedAtMs = state.attempt().majorityGrantedAtMs(state.view().members());
        return grantedAtMs >= revalidateSinceMs
                && timeMs - grantedAtMs < state.timings().holderLeaseMs();
    }

    /** From now on only what is granted later counts. */
    void requireRevalidation() {
        revalidateSinceMs = state.nowMs();
    }

    /** A higher term was seen: this one may act again only once a majority has renewed it. */
    void revalidate(long seenTerm) {
        if (state.isHolder() && seenTerm > state.attempt().term()) {
            state.actions()
                    .log(new ElectionEvent.Revalidating(
                            state.role(), state.attempt().term(), seenTerm));
            requireRevalidation();
            renew();
        }
    }
}
