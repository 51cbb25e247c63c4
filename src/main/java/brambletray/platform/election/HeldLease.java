package brambletray.platform.election;

import java.util.function.Consumer;

/**
 * The holder's side: renews the lease that this member has won, decides whether it may act under it now, and hands it
 * over. Invariant: the holder acts for at most {@link LeaseTimings#holderLeaseMs} after sending the latest request
 * that a majority has granted.
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

    /** Renews the lease when due, and ends it once it has expired or this member is not in the view. */
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

    /** Asks all members, including this one, to renew the lease; does nothing outside an active view. */
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

    /** Hands over the lease, if it is held here: stops acting at once and names the successor. */
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

    /** Resends the release: a message may be lost, or reach a member that has not yet entered the view. */
    void sendRelease() {
        state.voter()
                .release(release.term(), release.holderIncarnation(), release.successorIncarnation(), state.nowMs());
        state.sendToOthers(release);
        if (state.nowMs() >= releaseResendUntilMs) {
            release = null;
        }
    }

    /** Whether this process may act under its term at this time. */
    boolean mayAct(long timeMs) {
        if (!state.isHolder() || timeMs - state.lastTickAtMs() > state.timings().maxTickDelayMs()) {
            return false;
        }
        long grantedAtMs = state.attempt().majorityGrantedAtMs(state.view().members());
        return grantedAtMs >= revalidateSinceMs
                && timeMs - grantedAtMs < state.timings().holderLeaseMs();
    }

    /** Invalidates all grants of requests sent before now. */
    void requireRevalidation() {
        revalidateSinceMs = state.nowMs();
    }

    /** A higher term was seen: the holder may act again only once a majority has renewed its lease. */
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
