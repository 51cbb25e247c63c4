package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The state machine of one request, from its arrival to its single response and the end of its attempts. Does no I/O:
 * each event is passed in with its time, and actions are issued through {@link RequestActions}.
 *
 * <p>A repeatable request may be sent to at most {@code maxInstances} instances; any other is sent to another instance
 * only with proof that it did not run (rule TWICE). When no response has come after the service's hedging delay, a
 * hedged request goes to another instance if a slot is free; the first response is used and the others are cancelled.
 * A request that is given up gets a response at once: 503 if it provably did not run (rule REFUSED), 504 at its
 * deadline, 502 otherwise. If the client disconnects, a repeatable request is cancelled at its instances (rule GONE);
 * any other runs to its end there, once.
 */
final class RequestLifecycle {
    /** Time in ms before the deadline at which the proxy sends its own response, so that it arrives in time. */
    private static final int RESPONSE_MARGIN_MS = 20;

    /** Time in ms before the deadline at which an instance has to stop. */
    private static final int HOST_MARGIN_MS = 10;
    /** Time in ms after the deadline within which an instance must have responded. */
    private static final int HOST_ANSWER_GRACE_MS = 150;
    /** Minimum time in ms before a slot is requested again for a hedged request. */
    private static final int HEDGE_RETRY_MS = 50;
    /** Slot requests for hedged requests, at most. */
    private static final int MAX_HEDGE_REQUESTS = 4;
    /** Unreachable instances after which the request is given up. */
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
    /** Time in ms at which a hedged request is due; 0 for none. */
    private long hedgeAtMs;
    /** An instance has or may have run the request without returning a usable response. */
    private boolean unproven;

    private int retryAfterMs = -1;
    /** Attempt whose error response is passed on if no instance returns a better one. */
    private Attempt failedAttempt;

    private Attempt streamingAttempt;
    private boolean isSettled;
    /** Waits for a right under the tenant's quota or for the claim on its operation; no slot is requested yet. */
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

    /** The preparation is complete: a slot can be requested. */
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

    /**
     * The request must not run and has not been sent: 429, 503, or 502 if an earlier attempt of its operation may have
     * run.
     */
    void onPreparationRejected(int status, int retryAfterMs) {
        if (isPreparing) {
            isPreparing = false;
            isSettled = true;
            actions.respond(status, retryAfterMs);
        }
    }

    /** An earlier attempt of its operation has a recorded response, which answers this request too. */
    void onRepeatAnswered() {
        if (isPreparing) {
            isPreparing = false;
            isSettled = true;
            actions.passRecordedAnswer();
        }
    }

    /** What is known about whether the request ran; final once {@link #isOver} is true. */
    RunState runState() {
        return attempts.runState();
    }

    /** Number of active attempts that were sent to an instance. */
    int sentCount() {
        return attempts.sentCount();
    }

    /** Whether the client has its response or has disconnected. */
    boolean isSettled() {
        return isSettled;
    }

    /** Whether the request is complete: settled, with no slot request pending and no active attempt. */
    boolean isOver() {
        return isSettled && pendingRequestId == 0 && attempts.activeCount() == 0;
    }

    /** Time in ms at which {@link #tick} is next due; {@link Long#MAX_VALUE} for never. */
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
            // Prevents a slot leak: the slot request was cancelled while its grant was in transit. A duplicate grant is
            // not cancelled, as its slot is in use.
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

    void onRefused(long requestId, int retryAfterMs, long now) {
        if (requestId != pendingRequestId) {
            return;
        }
        pendingRequestId = 0;
        if (pendingIsHedge && attempts.activeCount() > 0) {
            hedgeAtMs = hedgeRequests < MAX_HEDGE_REQUESTS ? now + Math.max(HEDGE_RETRY_MS, retryAfterMs) : 0;
        } else if (pendingIsHedge) {
            nextStep(now);
        } else {
            this.retryAfterMs = retryAfterMs;
            conclude(now);
        }
    }

    // ---- Attempts -------------------------------------------------------------------------------
    /** The first byte of the request was written to the instance. */
    void onSent(Attempt attempt, long now) {
        if (!attempt.active || attempt.isSent()) {
            return;
        }
        attempt.sentAtMs = now;
        sentInstances++;
        hedgeAtMs = isHedgeWanted() ? now + Math.max(1, hedgeDelayMs.getAsInt()) : 0;
    }

    /** No connection was established: the request did not arrive and did not run. */
    void onUnreachable(Attempt attempt, long now) {
        if (attempts.complete(attempt, AttemptOutcome.UNREACHED, (int) (now - attempt.grantedAtMs))) {
            unreachableCount++;
            hedgeAtMs = isHedgeWanted() ? now + HEDGE_RETRY_MS : 0;
            nextStep(now);
        }
    }

    /** The attempt was not sent: the tenant's quota is exceeded, or the quota cannot be checked now. */
    void onSendRejected(Attempt attempt, int status, int retryAfterMs, long now) {
        if (!attempts.releaseUnsent(attempt) || isSettled || pendingRequestId != 0 || attempts.activeCount() > 0) {
            return;
        }
        if (unproven || failedAttempt != null) {
            conclude(now);
        } else {
            isSettled = true;
            hedgeAtMs = 0;
            actions.respond(status, retryAfterMs);
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

    /** A response too large to be buffered is arriving; returns whether it is to be streamed to the client. */
    boolean onStreaming(Attempt attempt, long now) {
        if (isSettled || !attempt.active) {
            return false;
        }
        settleOn(attempt, now);
        streamingAttempt = attempt;
        actions.startStreaming(attempt);
        return true;
    }

    /** The first usable response settles the request; its other attempts and slot requests are cancelled. */
    private void settleOn(Attempt winner, long now) {
        cancelPendingRequest();
        attempts.cancelOthers(winner, now);
    }

    /** Settles the request and cancels its pending slot request. */
    private void cancelPendingRequest() {
        isSettled = true;
        hedgeAtMs = 0;
        if (pendingRequestId != 0) {
            long id = pendingRequestId;
            pendingRequestId = 0;
            actions.cancelSlotRequest(id);
        }
    }

    // ---- Decisions ------------------------------------------------------------------------------
    /** After an attempt without a usable response: waits for the others, tries another instance, or gives up. */
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

    /** Responds to the client; attempts that were sent are left to finish at their instances. */
    private void onTimeout(long now) {
        if (isPreparing) {
            isPreparing = false;
            isSettled = true;
            actions.respond(actions.cancelPreparation(), -1);
            return;
        }
        cancelPendingRequest();
        unproven |= attempts.cancelUnsent(now);
        conclude(now);
    }

    /**
     * Responds to the client now, although the request's deadline has not passed, unless its response has begun.
     */
    void answerNow(long now) {
        if (!isSettled) {
            onTimeout(now);
        }
    }

    /**
     * The client has disconnected before its response was complete: nothing is sent any more. The attempts of a
     * repeatable request are cancelled; of any other, those that were sent run to their end.
     */
    void onClientGone(long now) {
        if (isPreparing) {
            isPreparing = false;
            actions.cancelPreparation();
        }
        cancelPendingRequest();
        if (!plan.idempotent()) {
            attempts.cancelUnsent(now);
            return;
        }
        attempts.cancelAll(now);
        if (streamingAttempt != null) {
            onStreamed(AttemptOutcome.CANCELLED);
        }
    }
}
