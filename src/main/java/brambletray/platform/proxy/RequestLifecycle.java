package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The state machine of one request, from its arrival to its single response and the end of its attempts. Does no I/O:
 * events come in with their time, actions go out through {@link RequestActions}.
 *
 * <p>A repeatable request may be sent to at most {@code mostHosts} hosts; any other to the next host only with proof
 * that it did not run (rule TWICE). When no response has come after the service's hedging delay, a hedged request
 * goes to another host if a slot is free; the first response is used and the others are cancelled. A request that is
 * abandoned is answered at once: 503 if it provably did not run (rule REFUSED), 504 at its deadline, 502 otherwise.
 */
final class RequestLifecycle {
    /** ms before the end: our own answer has to reach the client; and so much sooner does a host stop. */
    private static final int RESPONSE_MARGIN_MS = 20;

    private static final int HOST_MARGIN_MS = 10;
    /** ms after the deadline within which a host must have answered. */
    private static final int HOST_ANSWER_GRACE_MS = 150;
    /**
     * ms until a hedged request that found no slot asks again, at least; how often it asks; hosts that may be
     * unreachable.
     */
    private static final int HEDGE_RETRY_MS = 50;

    private static final int MAX_HEDGE_REQUESTS = 4;
    private static final int MAX_UNREACHABLE = 4;

    private final RequestPlan plan;
    private final RequestActions actions;
    private final IntSupplier hedgeDelayMs;
    private final LongSupplier requestIds;
    private final String edge;
    private final String zone;
    private final Attempts attempts;
    private final long lastSendMs;
    /** Id of the slot request in flight; 0 for none. */
    private long pendingRequestId;

    private boolean pendingIsHedge;
    private int sentInstances;
    private int unreachableCount;
    private int hedgeRequests;
    /** ms; 0: no copy is due. */
    private long hedgeAtMs;
    /** A host has or may have run it, and its answer was not one. */
    private boolean unproven;

    private int retryAfterMs = -1;
    /** A host's own failure: the answer if nothing better comes. */
    private Attempt failedAttempt;

    private Attempt streamingAttempt;
    private boolean isSettled;
    /** Waits for its right under the tenant's quota or the claim on its operation, and holds no slot yet. */
    private boolean isPreparing;

    RequestLifecycle(
            RequestPlan plan,
            RequestActions actions,
            IntSupplier hedgeDelayMs,
            LongSupplier requestIds,
            String edge,
            String zone,
            long now) {
        this.plan = plan;
        this.actions = actions;
        this.hedgeDelayMs = hedgeDelayMs;
        this.requestIds = requestIds;
        this.edge = edge;
        this.zone = zone;
        this.attempts = new Attempts(actions, plan.deadlineMs());
        this.lastSendMs = plan.deadlineMs() - Math.min(RESPONSE_MARGIN_MS, Math.max(0, plan.deadlineMs() - now) / 8);
    }

    void start(long now) {
        if (now >= lastSendMs) {
            conclude(now);
        } else if (plan.needsPreparation()) {
            isPreparing = true;
            actions.prepare();
        } else {
            requestSlot(false, now);
        }
    }

    /** All that has to come before a slot has come. */
    void onPrepared(long now) {
        if (!isPreparing) {
            return;
        }
        isPreparing = false;
        if (now >= lastSendMs) {
            conclude(now);
        } else {
            requestSlot(false, now);
        }
    }

    /** It may not run, and has not: 429, 503, or 502 where an earlier attempt may have run. */
    void onPreparationRejected(int status, int refusedForMs) {
        if (isPreparing) {
            isPreparing = false;
            isSettled = true;
            actions.respond(status, refusedForMs);
        }
    }

    /** An earlier attempt of its operation has an answer, which is this one's too. */
    void onRepeatAnswered() {
        if (isPreparing) {
            isPreparing = false;
            isSettled = true;
            actions.passRecordedAnswer();
        }
    }

    /** What is known of whether it ran; final once it {@link #isOver}. */
    RunState runState() {
        return attempts.runState();
    }

    /** The client has its answer, or is gone. */
    boolean isSettled() {
        return isSettled;
    }

    /** Nothing more will happen. */
    boolean isOver() {
        return isSettled && pendingRequestId == 0 && attempts.activeCount() == 0;
    }

    /** When {@link #tick} is next needed, ms; {@link Long#MAX_VALUE}: never. */
    long nextDueMs() {
        if (isSettled) {
            return attempts.activeCount() == 0 ? Long.MAX_VALUE : plan.deadlineMs() + HOST_ANSWER_GRACE_MS;
        }
        return hedgeAtMs != 0 && pendingRequestId == 0 ? Math.min(hedgeAtMs, lastSendMs) : lastSendMs;
    }

    // ---- Slots ----------------------------------------------------------------------------------
    private void requestSlot(boolean hedge, long now) {
        pendingRequestId = requestIds.getAsLong();
        pendingIsHedge = hedge;
        hedgeRequests += hedge ? 1 : 0;
        actions.requestSlot(new SlotRequest(
                pendingRequestId,
                edge,
                zone,
                plan.service(),
                plan.owner(),
                (int) Math.min(Integer.MAX_VALUE, plan.deadlineMs() - now),
                plan.targetMs(),
                hedge,
                sentInstances > 0,
                plan.nestedCall(),
                attempts.instances()));
    }

    void onGranted(SlotGrant grant, long now) {
        if (grant.requestId() != pendingRequestId) {
            // Prevents a slot leak: this request was cancelled while its grant was under way. A grant that comes twice
            // is in use.
            if (!attempts.isActive(grant.requestId())) {
                actions.cancelSlotRequest(grant.requestId());
            }
            return;
        }
        pendingRequestId = 0;
        if (now >= lastSendMs) {
            actions.cancelSlotRequest(grant.requestId());
            tick(now);
            return;
        }
        if (pendingIsHedge && !isHedgeWanted()) {
            actions.cancelSlotRequest(grant.requestId());
            nextStep(now);
            return;
        }
        actions.sendToInstance(attempts.add(grant, pendingIsHedge, now), plan.deadlineMs() - HOST_MARGIN_MS);
    }

    void onRefused(long requestId, int refusedForMs, long now) {
        if (requestId != pendingRequestId) {
            return;
        }
        pendingRequestId = 0;
        if (pendingIsHedge && attempts.activeCount() > 0) {
            hedgeAtMs = hedgeRequests < MAX_HEDGE_REQUESTS ? now + Math.max(HEDGE_RETRY_MS, refusedForMs) : 0;
        } else if (pendingIsHedge) {
            nextStep(now);
        } else {
            this.retryAfterMs = refusedForMs;
            conclude(now);
        }
    }

    // ---- At hosts -------------------------------------------------------------------------------
    /** The first byte has gone out. */
    void onSent(Attempt attempt, long now) {
        if (!attempt.active || attempt.isSent()) {
            return;
        }
        attempt.sentAtMs = now;
        sentInstances++;
        hedgeAtMs = isHedgeWanted() ? now + Math.max(1, hedgeDelayMs.getAsInt()) : 0;
    }

    /** No connection came up: it did not run, and did not arrive. */
    void onUnreachable(Attempt attempt, long now) {
        if (attempts.complete(attempt, AttemptOutcome.UNREACHED, (int) (now - attempt.grantedAtMs))) {
            unreachableCount++;
            hedgeAtMs = isHedgeWanted() ? now + HEDGE_RETRY_MS : 0;
            nextStep(now);
        }
    }

    /** Nothing was sent: the tenant's quota has no right for it, or nobody can tell now. */
    void onSendRejected(Attempt attempt, int status, int refusedForMs, long now) {
        if (!attempts.releaseUnsent(attempt) || isSettled || pendingRequestId != 0 || attempts.activeCount() > 0) {
            return;
        }
        if (unproven || failedAttempt != null) {
            conclude(now);
        } else {
            isSettled = true;
            hedgeAtMs = 0;
            actions.respond(status, refusedForMs);
        }
    }

    /**
     * The outcome of an attempt: SERVED, NOT_RUN, WRONG_HOST, FAILED or BROKEN. {@code withheld}: the response must
     * not be passed on, as its status promises that the request did not run (408, 421, 429, 503) without proof, or as
     * it was too large to be buffered.
     */
    void onEnded(Attempt attempt, AttemptOutcome outcome, boolean withheld, long now) {
        int durationMs = (int) (now - (attempt.isSent() ? attempt.sentAtMs : attempt.grantedAtMs));
        if (!attempts.complete(attempt, outcome, durationMs)) {
            return;
        }
        if (attempt == streamingAttempt) {
            onStreamed(outcome);
            return;
        }
        if (outcome == AttemptOutcome.SERVED) {
            actions.recordResponseTime(durationMs);
            if (!isSettled) {
                settleOn(attempt, now);
                actions.passResponse(attempt);
            }
            return;
        }
        unproven |= outcome == AttemptOutcome.FAILED || outcome == AttemptOutcome.BROKEN;
        if (outcome == AttemptOutcome.FAILED && !withheld) {
            failedAttempt = attempt;
        }
        nextStep(now);
    }

    private void onStreamed(AttemptOutcome outcome) {
        streamingAttempt = null;
        if (outcome == AttemptOutcome.SERVED) {
            actions.finishStreaming();
        } else {
            actions.abortClient();
        }
    }

    /** An answer too large to be held back is coming: true if it is the client's. */
    boolean onStreaming(Attempt attempt, long now) {
        if (isSettled || !attempt.active) {
            return false;
        }
        settleOn(attempt, now);
        streamingAttempt = attempt;
        actions.startStreaming(attempt);
        return true;
    }

    /** The first usable answer settles; what else is out is called off. */
    private void settleOn(Attempt winner, long now) {
        cancelPendingRequest();
        attempts.cancelOthers(winner, now);
    }

    /** No more is asked for. */
    private void cancelPendingRequest() {
        isSettled = true;
        hedgeAtMs = 0;
        if (pendingRequestId != 0) {
            long id = pendingRequestId;
            pendingRequestId = 0;
            actions.cancelSlotRequest(id);
        }
    }

    // ---- What next ------------------------------------------------------------------------------
    /** After an end that is no answer: wait for what is out, go to another host, or give up. */
    private void nextStep(long now) {
        if (isSettled || pendingRequestId != 0 || attempts.activeCount() > 0) {
            return;
        }
        hedgeAtMs = 0;
        if (now < lastSendMs
                && sentInstances < plan.maxInstances()
                && (plan.idempotent() || !unproven)
                && unreachableCount < MAX_UNREACHABLE) {
            requestSlot(false, now);
        } else {
            conclude(now);
        }
    }

    private void conclude(long now) {
        isSettled = true;
        hedgeAtMs = 0;
        if (failedAttempt != null) {
            actions.passResponse(failedAttempt);
        } else if (!unproven) {
            actions.respond(503, retryAfterMs);
        } else {
            actions.respond(now >= lastSendMs ? 504 : 502, -1);
        }
    }

    private boolean isHedgeWanted() {
        return !isSettled && plan.idempotent() && sentInstances < plan.maxInstances() && sentInstances > 0;
    }

    void tick(long now) {
        if (isSettled) {
            if (now >= plan.deadlineMs() + HOST_ANSWER_GRACE_MS) {
                attempts.cancelAll(now);
                if (streamingAttempt != null) {
                    onStreamed(AttemptOutcome.SILENT);
                }
            }
        } else if (now >= lastSendMs) {
            onTimeout(now);
        } else if (hedgeAtMs != 0 && now >= hedgeAtMs && pendingRequestId == 0) {
            hedgeAtMs = 0;
            if (attempts.activeCount() > 0 && isHedgeWanted()) {
                requestSlot(true, now);
            }
        }
    }

    /** The client is answered; what is at a host is left to finish there. */
    private void onTimeout(long now) {
        if (isPreparing) {
            isPreparing = false;
            isSettled = true;
            actions.respond(actions.cancelPreparation(), -1);
            return;
        }
        cancelPendingRequest();
        unproven |= attempts.onClientGone(now);
        conclude(now);
    }

    /**
     * No time is left, though the request's own is not over: the client is answered now unless its answer has begun.
     */
    void answerNow(long now) {
        if (!isSettled) {
            onTimeout(now);
        }
    }

    /** The client has gone: what no host has is dropped, the rest is left to finish (breaking off is priced). */
    void onClientGone(long now) {
        if (!isSettled) {
            if (isPreparing) {
                isPreparing = false;
                actions.cancelPreparation();
            }
            cancelPendingRequest();
            attempts.onClientGone(now);
        }
    }
}
