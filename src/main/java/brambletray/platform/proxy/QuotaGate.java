package brambletray.platform.proxy;

import brambletray.platform.configuration.Tenant;

/** Where a request gets the right to run under its tenant's quota, which counts over all edges. On the loop only. */
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
                    // there is nothing to count
                }
            });
        }

        @Override
        public void cancel(Listener listener) {
            // nothing is ever pending
        }
    };

    /** Requests the right for one request. The listener is called once, perhaps before this returns. */
    void acquire(Tenant tenant, Listener listener);

    /** The request of this listener does not wait any more; it is not called from now on. */
    void cancel(Listener listener);

    /** The right to send one request once, within a short time. */
    interface Right {
        /** Whether it may still be spent. */
        boolean isValid();

        /** The request is sent by it now. What is not spent in time goes back to the tenant. */
        void spend();
    }

    /** What one request hears. */
    interface Listener {
        /** It may be sent once, soon. */
        void onAcquired(Right right);

        /** The tenant is beyond its limit. */
        void onExceeded(int retryAfterMs);

        /** Nobody can tell now. */
        void onUnavailable(int retryAfterMs);
    }
}
