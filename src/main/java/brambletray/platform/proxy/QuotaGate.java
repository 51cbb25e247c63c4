package brambletray.platform.proxy;

import brambletray.platform.configuration.Tenant;

/**
 * Grants requests the right to run under their tenant's quota, which applies across all edges. Used on the event loop
 * only.
 */
public interface QuotaGate {
    /** Admits everything: for deployments without tenants. */
    QuotaGate UNLIMITED = new QuotaGate() {
        @Override
        public void acquire(Tenant tenant, Listener listener) {
            listener.onAcquired(new Right() {
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void spend() {
                    // nothing to count
                }
            });
        }

        @Override
        public void cancel(Listener listener) {
            // nothing is ever pending
        }
    };

    /** Acquires the right to send one request. The listener is called once, possibly before this returns. */
    void acquire(Tenant tenant, Listener listener);

    /** Cancels the acquisition of this listener, which is not called from now on. */
    void cancel(Listener listener);

    /** The right to send one request once, within a short time. */
    interface Right {
        /** Whether the right may still be spent. */
        boolean isValid();

        /** Spends the right, as the request is sent now. A right that is not spent in time returns to the tenant. */
        void spend();
    }

    /** Receives the result for one request. */
    interface Listener {
        /** The request may be sent once, within a short time. */
        void onAcquired(Right right);

        /** The tenant has exceeded its quota. */
        void onExceeded(int retryAfterMs);

        /** The quota cannot be checked now. */
        void onUnavailable(int retryAfterMs);
    }
}
