package brambletray.platform.edge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Tenant;
import brambletray.platform.proxy.QuotaGate;
import brambletray.platform.quota.QuotaDebit;
import brambletray.platform.quota.QuotaGrant;
import brambletray.platform.quota.QuotaParameters;
import brambletray.platform.quota.QuotaRefusal;
import brambletray.platform.quota.QuotaRequest;
import brambletray.platform.quota.QuotaReturn;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A quota client with a scripted coordinator. Virtual time. */
class QuotaClientTest {
    private static final Tenant TENANT = new Tenant("a", List.of(), 0, 10, 0);
    private static final int TICK_MS = 50;
    private static final int WINDOW_MS = 5_000;

    private static final class RecordingListener implements QuotaGate.Listener {
        private QuotaGate.Right right;
        private String refusal = "";

        @Override
        public void onAcquired(QuotaGate.Right acquired) {
            right = acquired;
        }

        @Override
        public void onExceeded(int retryAfterMs) {
            refusal = "exceeded " + retryAfterMs;
        }

        @Override
        public void onUnavailable(int retryAfterMs) {
            refusal = "unavailable " + retryAfterMs;
        }
    }

    private final List<Object> sent = new ArrayList<>();
    private boolean isAttached = true;
    private long nowMs = 1_000_000;
    private final QuotaClient client = new QuotaClient(this::send, () -> nowMs, WINDOW_MS);

    private boolean send(Object frame) {
        return isAttached && sent.add(frame);
    }

    private RecordingListener acquire() {
        RecordingListener listener = new RecordingListener();
        client.acquire(TENANT, listener);
        return listener;
    }

    private void run(int ms) {
        for (int passed = 0; passed < ms; passed += TICK_MS) {
            nowMs += TICK_MS;
            client.tick(isAttached);
        }
    }

    private long lastRequestId() {
        return sent.stream()
                .filter(QuotaRequest.class::isInstance)
                .map(QuotaRequest.class::cast)
                .reduce((first, second) -> second)
                .orElseThrow()
                .id();
    }

    private <T> List<T> all(Class<T> type) {
        return sent.stream().filter(type::isInstance).map(type::cast).toList();
    }

    /** Detaches from the coordinator after a grant with this run-ahead allowance. */
    private void loseAfterGrant(int runAhead) {
        acquire();
        client.onResponse(new QuotaGrant(lastRequestId(), runAhead));
        isAttached = false;
        client.tick(false);
    }

    private void attach(long term) {
        isAttached = true;
        client.onAttached(term);
    }

    @Test
    void rightIsValidForALimitedTime() {
        RecordingListener waiting = acquire();
        assertEquals(List.of(new QuotaRequest(1, "a")), sent);
        nowMs += 1;
        client.onResponse(new QuotaGrant(1, 0));
        assertTrue(waiting.right.isValid());
        nowMs += QuotaParameters.RIGHT_VALIDITY_MS;
        assertFalse(waiting.right.isValid(), "validity is counted from the request");
    }

    @Test
    void refusalIsPassedToTheListener() {
        RecordingListener waiting = acquire();
        client.onResponse(new QuotaRefusal(1, 70));
        assertEquals("exceeded 70", waiting.refusal);
        assertEquals(0, client.pendingCount());
    }

    @Test
    void rightThatArrivesTooLateIsRequestedAgain() {
        RecordingListener waiting = acquire();
        nowMs += QuotaParameters.RIGHT_VALIDITY_MS;
        client.onResponse(new QuotaGrant(1, 0));
        assertEquals(null, waiting.right);
        assertEquals(List.of(new QuotaRequest(1, "a"), new QuotaRequest(2, "a")), all(QuotaRequest.class));
        client.onResponse(new QuotaGrant(2, 0));
        assertTrue(waiting.right.isValid());
    }

    @Test
    void onlyUnspentRightsAreReturned() {
        RecordingListener spent = acquire();
        client.onResponse(new QuotaGrant(1, 0));
        acquire();
        client.onResponse(new QuotaGrant(2, 0));
        spent.right.spend();
        run(100);
        assertEquals(List.of(), all(QuotaReturn.class));
        run(200);
        assertEquals(List.of(new QuotaReturn("a", 1)), all(QuotaReturn.class));
    }

    @Test
    void cancelledListenerIsNotCalledAndItsRightIsReturned() {
        RecordingListener waiting = acquire();
        client.cancel(waiting);
        assertEquals(0, client.pendingCount());
        client.onResponse(new QuotaGrant(1, 0));
        assertEquals(null, waiting.right);
        run(200);
        assertEquals(List.of(new QuotaReturn("a", 1)), all(QuotaReturn.class));
    }

    @Test
    void withoutACoordinatorRequestsUseTheRunAheadAllowance() {
        loseAfterGrant(2);
        assertTrue(acquire().right.isValid());
        assertTrue(acquire().right.isValid());
        RecordingListener third = acquire();
        assertEquals(null, third.right);
        run(100);
        assertEquals("unavailable 1000", third.refusal);
    }

    @Test
    void runAheadAllowanceExpires() {
        loseAfterGrant(2);
        nowMs += QuotaParameters.RUN_AHEAD_VALIDITY_MS;
        assertEquals(null, acquire().right);
    }

    @Test
    void runAheadIsReportedToTheNextCoordinatorBeforeNewRequests() {
        loseAfterGrant(2);
        acquire();
        acquire();
        RecordingListener waiting = acquire();
        sent.clear();
        attach(2);
        assertEquals(List.of(new QuotaDebit("a", 2), new QuotaRequest(lastRequestId(), "a")), sent);
        client.onResponse(new QuotaGrant(lastRequestId(), 0));
        assertTrue(waiting.right.isValid());
    }

    @Test
    void allowanceIsNotSpentTwiceInAWindow() {
        loseAfterGrant(2);
        acquire();
        acquire();
        attach(2);
        loseAfterGrant(2);
        assertEquals(null, acquire().right, "the report may have been lost");
        attach(2);
        run(WINDOW_MS + TICK_MS);
        loseAfterGrant(2);
        assertTrue(acquire().right.isValid());
    }

    @Test
    void missingAnswerIsReplacedByTheRunAheadAllowance() {
        acquire();
        client.onResponse(new QuotaGrant(1, 1));
        RecordingListener waiting = acquire();
        RecordingListener other = acquire();
        run(100);
        assertTrue(waiting.right.isValid());
        assertEquals("", other.refusal);
        assertEquals(null, other.right);
        run(400);
        assertEquals("unavailable 1000", other.refusal);
    }

    @Test
    void rightsOfAFormerCoordinatorAreNotReturned() {
        acquire();
        client.onResponse(new QuotaGrant(1, 0));
        isAttached = false;
        client.tick(false);
        attach(2);
        run(400);
        assertEquals(List.of(), all(QuotaReturn.class));
    }

    @Test
    void rightSpentAfterItsReturnIsReported() {
        RecordingListener waiting = acquire();
        client.onResponse(new QuotaGrant(1, 0));
        run(200);
        assertEquals(1, all(QuotaReturn.class).size());
        waiting.right.spend();
        run(50);
        assertEquals(List.of(new QuotaDebit("a", 1)), all(QuotaDebit.class));
    }

    @Test
    void rightThatIsTooOldIsNotReturned() {
        acquire();
        client.onResponse(new QuotaGrant(1, 0));
        nowMs += QuotaParameters.MAX_RETURN_AGE_MS + 1;
        client.tick(true);
        assertEquals(List.of(), all(QuotaReturn.class));
    }
}
