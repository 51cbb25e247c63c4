package brambletray.platform.proxy;

import brambletray.platform.configuration.Tenant;

/**
 * The right of one attempt under its tenant's quota. Rights are good for a short time, so that requests that waited
 * for a slot or a connection do not arrive in a bunch: one that has run out is replaced right before the send.
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
            // there is nothing to count
        }
    };

    /** What an attempt hears. */
    interface Events {
        /** It has a right now, and may try again to go out. */
        void onPermitted();

        /** It is not to go out. */
        void onRejected(int status, int retryAfterMs);
    }

    private final QuotaGate gate;
    private final Tenant tenant;
    private final Events events;
    private final Listener listener = new Listener();
    private QuotaGate.Right right;
    private boolean isPending;
    /** Within {@link #isReady}, which answers itself. */
    private boolean isAcquiring;

    /** {@code right}: one that was acquired before, or null. */
    SendPermit(QuotaGate gate, Tenant tenant, QuotaGate.Right right, Events events) {
        this.gate = gate;
        this.tenant = tenant;
        this.right = right;
        this.events = events;
    }

    /** Whether it may go out now; if not, a right is acquired and an event follows. */
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

    /** It goes out now. */
    void spend() {
        right.spend();
        right = null;
    }

    /** It does not wait any more. */
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
