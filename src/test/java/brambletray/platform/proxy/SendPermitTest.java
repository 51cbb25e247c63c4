package brambletray.platform.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.platform.configuration.Tenant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The right of one attempt, from the gate to the send. */
class SendPermitTest {
    private static final Tenant TENANT = new Tenant("a", List.of(), 0, 10, 0);

    private static final class TestRight implements QuotaGate.Right {
        private boolean isValid = true;
        private int spent;

        @Override
        public boolean isValid() {
            return isValid;
        }

        @Override
        public void spend() {
            spent++;
        }
    }

    private static final class TestGate implements QuotaGate {
        private final List<Listener> waiting = new ArrayList<>();
        private Right immediateRight;

        @Override
        public void acquire(Tenant tenant, Listener listener) {
            if (immediateRight != null) {
                listener.onAcquired(immediateRight);
            } else {
                waiting.add(listener);
            }
        }

        @Override
        public void cancel(Listener listener) {
            assertTrue(waiting.remove(listener));
        }
    }

    private final List<String> events = new ArrayList<>();
    private final TestGate gate = new TestGate();

    private SendPermit permit(QuotaGate.Right right) {
        return new SendPermit(gate, TENANT, right, new SendPermit.Events() {
            @Override
            public void onPermitted() {
                events.add("permitted");
            }

            @Override
            public void onRejected(int status, int retryAfterMs) {
                events.add(status + " " + retryAfterMs);
            }
        });
    }

    @Test
    void anAcquiredRightIsSpentBySending() {
        TestRight right = new TestRight();
        SendPermit permit = permit(right);
        assertTrue(permit.isReady());
        permit.spend();
        assertEquals(1, right.spent);
        assertEquals(List.of(), gate.waiting);
    }

    @Test
    void anExpiredRightIsReplacedBeforeSending() {
        TestRight right = new TestRight();
        SendPermit permit = permit(right);
        right.isValid = false;
        assertFalse(permit.isReady());
        assertFalse(permit.isReady());
        assertEquals(1, gate.waiting.size(), "asked for once");
        gate.waiting.remove(0).onAcquired(new TestRight());
        assertEquals(List.of("permitted"), events);
        assertTrue(permit.isReady());
    }

    @Test
    void anAttemptWithoutARightAcquiresOne() {
        SendPermit permit = permit(null);
        gate.immediateRight = new TestRight();
        assertTrue(permit.isReady());
        assertEquals(List.of(), events, "it goes out in this step already");
    }

    @Test
    void rejectionsAreReportedWithTheirStatus() {
        assertFalse(permit(null).isReady());
        gate.waiting.remove(0).onExceeded(70);
        assertFalse(permit(null).isReady());
        gate.waiting.remove(0).onUnavailable(1_000);
        assertEquals(List.of("429 70", "503 1000"), events);
    }

    @Test
    void aCancelledPermitIsNoLongerPending() {
        SendPermit permit = permit(null);
        assertFalse(permit.isReady());
        permit.cancel();
        assertEquals(List.of(), gate.waiting);
        permit.cancel();
    }
}
