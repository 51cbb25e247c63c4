package brambletray.platform.proxy;

import brambletray.platform.configuration.Tenant;

/**
 * What one request asks for.
 *
 * @param maxInstances to how many instances it may be sent ({@code retry-count}, 1 at least)
 * @param targetMs its latency target, ms
 * @param nestedCall whether an instance of ours calls
 * @param tenant whose request it is; null: nobody's
 * @param deadlineMs when its time is over, ms of the steady clock
 */
record RequestPlan(
        String service,
        boolean idempotent,
        int maxInstances,
        int priority,
        int targetMs,
        boolean nestedCall,
        Tenant tenant,
        long deadlineMs) {

    /** Whether it needs a right under its tenant's quota. */
    boolean isLimited() {
        return tenant != null && tenant.isLimited();
    }
}
