package brambletray.platform.proxy;

import brambletray.platform.proxy.OperationGate.Progress;

/**
 * What a request needs before it asks for a slot, step by step: the right under its tenant's quota, then the claim on
 * its operation. Ends the claim once the request is over.
 */
final class RequestPreparation {
    /** What the request hears; one of these, once, perhaps before {@link #start} returns. */
    interface Listener {
        void onPrepared();

        /** {@code retryAfterMs}: -1 where there is no point in a retry. */
        void onRejected(int status, int retryAfterMs);

        /** An earlier attempt of the operation has this answer. */
        void onRepeatAnswered(RecordedAnswer answer);
    }

    private enum Step {
        NONE,
        QUOTA,
        CLAIM
    }

    private final RequestPlan plan;
    private final QuotaGate quotaGate;
    private final OperationGate operationGate;
    private final Listener listener;
    private final QuotaStep quotaStep = new QuotaStep();
    private final ClaimStep claimStep = new ClaimStep();
    private Step step = Step.NONE;
    /** Until an attempt has it; null: none. */
    private QuotaGate.Right right;
    /** Null before it is granted, and for a request of no operation. */
    private OperationClaim claim;
    /** What an instance has answered; null: nothing that can be recorded. */
    private RecordedAnswer answer;

    RequestPreparation(RequestPlan plan, QuotaGate quotaGate, OperationGate operationGate, Listener listener) {
        this.plan = plan;
        this.quotaGate = quotaGate;
        this.operationGate = operationGate;
        this.listener = listener;
    }

    void start() {
        if (plan.isLimited()) {
            step = Step.QUOTA;
            quotaGate.acquire(plan.tenant(), quotaStep);
        } else {
            claimOperation();
        }
    }

    private void claimOperation() {
        if (plan.operation() == null) {
            step = Step.NONE;
            listener.onPrepared();
        } else {
            step = Step.CLAIM;
            operationGate.claim(plan.operation(), plan.maxClaimWaitMs(), claimStep);
        }
    }

    /** No callback follows; the status for a client that still waits. */
    int cancel() {
        Step cancelled = step;
        step = Step.NONE;
        if (cancelled == Step.QUOTA) {
            quotaGate.cancel(quotaStep);
        }
        return cancelled == Step.CLAIM ? status(operationGate.cancel(claimStep)) : 503;
    }

    private static int status(Progress progress) {
        return switch (progress) {
            case NOT_CLAIMED -> 503;
            case IN_PROGRESS -> 409;
            case UNKNOWN -> 504;
        };
    }

    /** The permit of the next attempt; the right that was acquired is the first one's. */
    SendPermit permit(SendPermit.Events events) {
        if (!plan.isLimited()) {
            return SendPermit.UNLIMITED;
        }
        QuotaGate.Right taken = right;
        right = null;
        return new SendPermit(quotaGate, plan.tenant(), taken, events);
    }

    /** Whether the request may still be sent under its claim. */
    boolean allowsSending() {
        return claim == null || claim.isUsable();
    }

    /** A complete answer of an instance, whether or not a client still waits; its bytes stay the caller's. */
    void onHostAnswer(HostResponse response) {
        if (claim != null) {
            answer = RecordedAnswer.of(response);
        }
    }

    /** Nothing more will happen to the request: its claim ends accordingly. */
    void onOver(RunState runState) {
        OperationClaim ended = claim;
        claim = null;
        if (ended == null) {
            return;
        }
        if (runState == RunState.NOT_RUN || runState == RunState.CONNECTION_LOST && plan.selfDedupe()) {
            ended.release();
        } else if (answer != null) {
            ended.complete(answer);
        } else {
            ended.abandon();
        }
    }

    private final class QuotaStep implements QuotaGate.Listener {
        @Override
        public void onAcquired(QuotaGate.Right acquired) {
            right = acquired;
            claimOperation();
        }

        @Override
        public void onExceeded(int retryAfterMs) {
            step = Step.NONE;
            listener.onRejected(429, retryAfterMs);
        }

        @Override
        public void onUnavailable(int retryAfterMs) {
            step = Step.NONE;
            listener.onRejected(503, retryAfterMs);
        }
    }

    private final class ClaimStep implements OperationGate.Listener {
        @Override
        public void onClaimed(OperationClaim granted) {
            step = Step.NONE;
            claim = granted;
            listener.onPrepared();
        }

        @Override
        public void onAnswered(RecordedAnswer recorded) {
            step = Step.NONE;
            listener.onRepeatAnswered(recorded);
        }

        @Override
        public void onUnknown() {
            step = Step.NONE;
            listener.onRejected(502, -1);
        }

        @Override
        public void onUnavailable(int retryAfterMs) {
            step = Step.NONE;
            listener.onRejected(503, retryAfterMs);
        }
    }
}
