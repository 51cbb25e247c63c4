package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationIdentity;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;

/**
 * The preparation of one run of {@link RequestLifecycleTest}: the production class with a quota gate and an operation
 * gate that respond at random. Checks the order of the steps and how the claim ends.
 */
final class ScriptedPreparation {
    private static final RecordedAnswer RECORDED = new RecordedAnswer(200, "OK", List.of(), new byte[0]);

    private final RequestLifecycleTest.Environment environment;
    private final RequestPreparation preparation;
    private QuotaGate.Listener quotaListener;
    private OperationGate.Listener claimListener;
    private boolean isPrepared;
    private boolean hasRight;
    private boolean hasAnswer;
    private boolean isClaimOutdated;
    private boolean isOver;
    private OperationClaim claim;
    /** Status with which the client must be rejected; 0 if the attempts determine the status. */
    int expectedStatus;

    boolean isRepeatAnswered;
    int endedClaims;

    ScriptedPreparation(RequestLifecycleTest.Environment environment) {
        this.environment = environment;
        preparation = new RequestPreparation(environment.plan, new Quota(), new Operations(), new Listener());
    }

    void start() {
        preparation.start();
    }

    int cancel() {
        int status = preparation.cancel();
        expectedStatus = status;
        assertTrue(quotaListener == null && claimListener == null, "still pending after being cancelled");
        return status;
    }

    boolean allowsSending() {
        return preparation.allowsSending();
    }

    /** Checks, before a slot is requested or a byte is sent, that the preparation is complete. */
    void assertPrepared() {
        assertTrue(isPrepared || !environment.plan.needsPreparation(), "the preparation is not complete");
        assertTrue(hasRight || !environment.plan.isLimited(), "no right under the quota");
        assertTrue(claim != null || environment.plan.operation() == null, "no claim on the operation (rule TWICE)");
        assertTrue(!isOver, "the request is already over");
    }

    /** Completes the pending step, or outdates the claim at random. */
    void step() {
        if (quotaListener != null) {
            stepQuota();
        } else if (claimListener != null) {
            stepClaim();
        } else if (claim != null && environment.random.nextInt(12) == 0) {
            isClaimOutdated = true;
        }
    }

    private void stepQuota() {
        QuotaGate.Listener listener = quotaListener;
        quotaListener = null;
        switch (environment.random.nextInt(6)) {
            case 0 -> {
                expectedStatus = 429;
                listener.onExceeded(environment.random.nextInt(300) - 1);
            }
            case 1 -> {
                expectedStatus = 503;
                listener.onUnavailable(environment.random.nextInt(300) - 1);
            }
            default -> {
                hasRight = true;
                listener.onAcquired(new Right());
            }
        }
    }

    private void stepClaim() {
        OperationGate.Listener listener = claimListener;
        claimListener = null;
        switch (environment.random.nextInt(8)) {
            case 0 -> {
                isRepeatAnswered = true;
                listener.onAnswered(RECORDED);
            }
            case 1 -> {
                expectedStatus = 502;
                listener.onUnknown();
            }
            case 2 -> {
                expectedStatus = 503;
                listener.onUnavailable(environment.random.nextInt(300) - 1);
            }
            default -> {
                claim = new Claim();
                listener.onClaimed(claim);
            }
        }
    }

    /** Ends the claim once the request is over, as the driver does after each event. */
    void endIfOver() {
        if (!isOver && environment.lifecycle.isOver()) {
            isOver = true;
            preparation.onOver(environment.lifecycle.runState());
        }
    }

    void assertNothingLeft() {
        assertTrue(quotaListener == null && claimListener == null, "a preparation step is still pending");
        assertNull(claim, "the claim was not ended");
    }

    /** An instance has responded completely. */
    void onHostAnswer() {
        hasAnswer = true;
        preparation.onHostAnswer(
                new HostResponse(200, "OK", new DefaultHttpHeaders(false), 0, true, new MemoryBudget(0)));
    }

    private final class Listener implements RequestPreparation.Listener {
        @Override
        public void onPrepared() {
            isPrepared = true;
            environment.lifecycle.onPrepared(environment.now);
        }

        @Override
        public void onRejected(int status, int retryAfterMs) {
            assertEquals(expectedStatus, status, "status of the rejection");
            environment.lifecycle.onPreparationRejected(status, retryAfterMs);
        }

        @Override
        public void onRepeatAnswered(RecordedAnswer answer) {
            environment.lifecycle.onRepeatAnswered();
        }
    }

    private final class Quota implements QuotaGate {
        @Override
        public void acquire(Tenant tenant, Listener listener) {
            assertTrue(
                    tenant.isLimited() && quotaListener == null && !hasRight,
                    "a second right, or a tenant without a limit");
            quotaListener = listener;
            stepAtRandom();
        }

        @Override
        public void cancel(Listener listener) {
            assertTrue(quotaListener == listener, "cancelled a listener that is not pending");
            quotaListener = null;
        }
    }

    private void stepAtRandom() {
        if (environment.random.nextInt(4) == 0) {
            step();
        }
    }

    private static final class Right implements QuotaGate.Right {
        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void spend() {
            // nothing to count
        }
    }

    private final class Operations implements OperationGate {
        @Override
        public void claim(OperationIdentity operation, int maxWaitMs, Listener listener) {
            assertTrue(hasRight || !environment.plan.isLimited(), "claimed before the right was acquired");
            assertTrue(claimListener == null && claim == null, "claimed twice");
            claimListener = listener;
            stepAtRandom();
        }

        @Override
        public Progress cancel(Listener listener) {
            assertTrue(claimListener == listener, "cancelled a listener that is not pending");
            claimListener = null;
            return Progress.values()[environment.random.nextInt(3)];
        }
    }

    private final class Claim implements OperationClaim {
        @Override
        public boolean isUsable() {
            return !isClaimOutdated;
        }

        @Override
        public void complete(RecordedAnswer answer) {
            end();
            assertTrue(hasAnswer && environment.mayHaveRun > 0, "completed with a response that no instance sent");
        }

        @Override
        public void release() {
            end();
            assertTrue(
                    environment.mayHaveRun == 0
                            || environment.plan.selfDedupe() && environment.mayHaveRun == environment.lostConnections,
                    "released although it may have run (rule TWICE)");
        }

        @Override
        public void abandon() {
            end();
            assertTrue(environment.mayHaveRun > 0, "abandoned although it has not run");
            assertTrue(!hasAnswer, "abandoned although there is a response to record");
        }

        private void end() {
            assertTrue(isOver, "claim ended before the request was over");
            assertTrue(environment.activeAttempts.isEmpty(), "claim ended while an attempt is active");
            assertTrue(claim == this, "claim ended twice");
            claim = null;
            endedClaims++;
        }
    }
}
