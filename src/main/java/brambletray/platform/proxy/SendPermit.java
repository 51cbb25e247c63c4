package brambletray.platform.proxy;

import brambletray.platform.configuration.Tenant;

/**
 * The right of one attempt under its tenant's quota. Rights are valid for a short time only, so that requests that
 * waited for a slot or a connection do not arrive in a burst: an expired right is replaced right before sending.
 */
class SendPermit {
    /** For requests that need no right. */
    static final SendPermit UNLIMITED = new SendPermit(null, null, null, null) {
        @Override
        boolean isReady() {
            return true;
        }

        @Override
        void spend() {
            // nothing to count
        }
    };

    /** Receives the result of a right that {@link #isReady} could not get at once. */
    interface Events {
        /** The attempt has a right now; sending can be tried again. */
        void onPermitted();

        /** The attempt must not be sent. */
        void onRejected(int status, int retryAfterMs);
    }

    private final QuotaGate gate;
    private final Tenant tenant;
    private final Events events;
    private final Listener listener = new Listener();
    private QuotaGate.Right right;
    private boolean isPending;
    /** Within {@link #isReady}, whose return value reports a right that is acquired at once. */
    private boolean isAcquiring;

    /** {@code right}: a right acquired earlier, or null. */
    SendPermit(QuotaGate gate, Tenant tenant, QuotaGate.Right right, Events events) {
        this.gate = gate;
        this.tenant = tenant;
        this.right = right;
        this.events = events;
    }

    /** Whether the attempt may be sent now; if not, a right is requested and an event follows. */
    boolean isReady() {
        if (!hasRight() && !isPending) {
            isPending = true;
            isAcquiring = true;
            gate.acquire(tenant, listener);
            isAcquiring = false;
        }
        return hasRight();
    }

    private boolean hasRight() {
        return right != null && right.isValid();
    }

    /** Spends the right, as the attempt is sent now. */
    void spend() {
        right.spend();
        right = null;
    }

    /** Cancels a pending request for a right. */
    void cancel() {
        if (isPending) {
            isPending = false;
            gate.cancel(listener);
        }
    }

    private final class Listener implements QuotaGate.Listener {
        @Override
        public void onAcquired(QuotaGate.Right acquired) {
            isPending = false;
            right = acquired;
            if (!isAcquiring) {
                events.onPermitted();
            }
        }

        @Override
        public void onExceeded(int retryAfterMs) {
            isPending = false;
            events.onRejected(429, retryAfterMs);
        }

        @Override
        public void onUnavailable(int retryAfterMs) {
            isPending = false;
            events.onRejected(503, retryAfterMs);
        }
    }
}
