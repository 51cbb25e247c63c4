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

    private final RequestLifecycleTest.World world;
    private final RequestPreparation preparation;
    private QuotaGate.Listener quotaListener;
    private OperationGate.Listener claimListener;
    private boolean isPrepared;
    private boolean hasRight;
    private boolean hasAnswer;
    private boolean isOutdated;
    private boolean isOver;
    private OperationClaim standing;
    /** The status with which the client must be refused; 0: the request's own course decides. */
    int ownStatus;

    boolean isRepeatAnswered;
    int claimEnds;

    ScriptedPreparation(RequestLifecycleTest.World world) {
        this.world = world;
        preparation = new RequestPreparation(world.plan, new Quota(), new Operations(), new Listener());
    }

    void start() {
        preparation.start();
    }

    int cancel() {
        int status = preparation.cancel();
        ownStatus = status;
        assertTrue(quotaListener == null && claimListener == null, "cancelled, and still waiting");
        return status;
    }

    boolean allowsSending() {
        return preparation.allowsSending();
    }

    /** A slot is asked for, or a byte sent: all that has to come before has come. */
    void assertPrepared() {
        assertTrue(isPrepared || !world.plan.needsPreparation(), "before its preparation was over");
        assertTrue(hasRight || !world.plan.isLimited(), "without a right under the quota");
        assertTrue(standing != null || world.plan.operation() == null, "without its claim (rule TWICE)");
        assertTrue(!isOver, "after its end");
    }

    /** The next step comes, whichever is waited for. */
    void act() {
        if (quotaListener != null) {
            actQuota();
        } else if (claimListener != null) {
            actClaim();
        } else if (standing != null && world.random.nextInt(12) == 0) {
            isOutdated = true;
        }
    }

    private void actQuota() {
        QuotaGate.Listener listener = quotaListener;
        quotaListener = null;
        switch (world.random.nextInt(6)) {
            case 0 -> {
                ownStatus = 429;
                listener.onExceeded(world.random.nextInt(300) - 1);
            }
            case 1 -> {
                ownStatus = 503;
                listener.onUnavailable(world.random.nextInt(300) - 1);
            }
            default -> {
                hasRight = true;
                listener.onAcquired(new Right());
            }
        }
    }

    private void actClaim() {
        OperationGate.Listener listener = claimListener;
        claimListener = null;
        switch (world.random.nextInt(8)) {
            case 0 -> {
                isRepeatAnswered = true;
                listener.onAnswered(RECORDED);
            }
            case 1 -> {
                ownStatus = 502;
                listener.onUnknown();
            }
            case 2 -> {
                ownStatus = 503;
                listener.onUnavailable(world.random.nextInt(300) - 1);
            }
            default -> {
                standing = new Claim();
                listener.onClaimed(standing);
            }
        }
    }

    /** As the driver does after each event. */
    void endIfOver() {
        if (!isOver && world.lifecycle.isOver()) {
            isOver = true;
            preparation.onOver(world.lifecycle.runState());
        }
    }

    void assertNothingLeft() {
        assertTrue(quotaListener == null && claimListener == null, "a preparation that nobody waits for");
        assertNull(standing, "a claim that was not ended");
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
            world.lifecycle.onPrepared(world.now);
        }

        @Override
        public void onRejected(int status, int retryAfterMs) {
            assertEquals(ownStatus, status, "the status of this refusal");
            world.lifecycle.onPreparationRejected(status, retryAfterMs);
        }

        @Override
        public void onRepeatAnswered(RecordedAnswer answer) {
            world.lifecycle.onRepeatAnswered();
        }
    }

    private final class Quota implements QuotaGate {
        @Override
        public void acquire(Tenant tenant, Listener listener) {
            assertTrue(tenant.isLimited() && quotaListener == null && !hasRight, "one right, of who is limited");
            quotaListener = listener;
            actSoon();
        }

        @Override
        public void cancel(Listener listener) {
            assertTrue(quotaListener == listener, "cancelled what does not wait");
            quotaListener = null;
        }
    }

    private void actSoon() {
        if (world.random.nextInt(4) == 0) {
            act();
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
            assertTrue(hasRight || !world.plan.isLimited(), "a claim before the right");
            assertTrue(claimListener == null && standing == null, "one claim");
            claimListener = listener;
            actSoon();
        }

        @Override
        public Progress cancel(Listener listener) {
            assertTrue(claimListener == listener, "cancelled what does not wait");
            claimListener = null;
            return Progress.values()[world.random.nextInt(3)];
        }
    }

    private final class Claim implements OperationClaim {
        @Override
        public boolean isUsable() {
            return !isOutdated;
        }

        @Override
        public void complete(RecordedAnswer answer) {
            end();
            assertTrue(hasAnswer && world.mayHaveRun > 0, "an answer of nobody");
        }

        @Override
        public void release() {
            end();
            assertTrue(
                    world.mayHaveRun == 0 || world.plan.selfDedupe() && world.mayHaveRun == world.brokenOff,
                    "released, and may have run (rule TWICE)");
        }

        @Override
        public void abandon() {
            end();
            assertTrue(world.mayHaveRun > 0, "abandoned, and has not run");
            assertTrue(!hasAnswer, "an answer that is not recorded");
        }

        private void end() {
            assertTrue(isOver, "ended while the request goes on");
            assertTrue(world.attempts.isEmpty(), "ended while an instance has the request");
            assertTrue(standing == this, "ended twice");
            standing = null;
            claimEnds++;
        }
    }
}
