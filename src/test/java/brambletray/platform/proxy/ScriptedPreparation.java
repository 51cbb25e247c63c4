package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationKey;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.List;

/**
 * The preparation steps of one walk of {@link RequestLifecycleTest}: the production class between a quota and a claim
 * that are drawn at random. Checks that each step comes in its order, and how the claim ends.
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
    /** The status with which the client must be refused; 0: the request's own course decides. */
    int expectedStatus;

    boolean isRepeatAnswered;
    int endedClaims;

    ScriptedPreparation(RequestLifecycleTest.Environment world) {
        this.environment = world;
        preparation = new RequestPreparation(world.plan, new Quota(), new Operations(), new Listener());
    }

    void start() {
        preparation.start();
    }

    int cancel() {
        int status = preparation.cancel();
        expectedStatus = status;
        assertTrue(quotaListener == null && claimListener == null, "cancelled, and still waiting");
        return status;
    }

    boolean allowsSending() {
        return preparation.allowsSending();
    }

    /** A slot is asked for, or a byte sent: all that has to come before has come. */
    void assertPrepared() {
        assertTrue(isPrepared || !environment.plan.needsPreparation(), "before its preparation was over");
        assertTrue(hasRight || !environment.plan.isLimited(), "without a right under the quota");
        assertTrue(claim != null || environment.plan.operation() == null, "without its claim (rule TWICE)");
        assertTrue(!isOver, "after its end");
    }

    /** The next step comes, whichever is waited for. */
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

    /** As the driver does after each event. */
    void endIfOver() {
        if (!isOver && environment.lifecycle.isOver()) {
            isOver = true;
            preparation.onOver(environment.lifecycle.runState());
        }
    }

    void assertNothingLeft() {
        assertTrue(quotaListener == null && claimListener == null, "a preparation that nobody waits for");
        assertNull(claim, "a claim that was not ended");
    }

    /** An instance has answered it completely. */
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
            assertEquals(expectedStatus, status, "the status of this refusal");
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
            assertTrue(tenant.isLimited() && quotaListener == null && !hasRight, "one right, of who is limited");
            quotaListener = listener;
            stepAtRandom();
        }

        @Override
        public void cancel(Listener listener) {
            assertTrue(quotaListener == listener, "cancelled what does not wait");
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
            // counted by the gate
        }
    }

    private final class Operations implements OperationGate {
        @Override
        public void claim(OperationKey operation, int maxWaitMs, Listener listener) {
            assertTrue(hasRight || !environment.plan.isLimited(), "a claim before the right");
            assertTrue(claimListener == null && claim == null, "one claim");
            claimListener = listener;
            stepAtRandom();
        }

        @Override
        public Progress cancel(Listener listener) {
            assertTrue(claimListener == listener, "cancelled what does not wait");
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
            assertTrue(hasAnswer && environment.mayHaveRun > 0, "an answer of nobody");
        }

        @Override
        public void release() {
            end();
            assertTrue(
                    environment.mayHaveRun == 0 || environment.plan.selfDedupe() && environment.mayHaveRun == environment.lostConnections,
                    "released, and may have run (rule TWICE)");
        }

        @Override
        public void abandon() {
            end();
            assertTrue(environment.mayHaveRun > 0, "abandoned, and has not run");
            assertTrue(!hasAnswer, "an answer that is not recorded");
        }

        private void end() {
            assertTrue(isOver, "ended while the request goes on");
            assertTrue(environment.activeAttempts.isEmpty(), "ended while an instance has the request");
            assertTrue(claim == this, "ended twice");
            claim = null;
            endedClaims++;
        }
    }
}
