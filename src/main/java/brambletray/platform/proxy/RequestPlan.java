package brambletray.platform.proxy;

import brambletray.platform.admission.SlotOwner;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationKey;

/**
 * What one request asks for.
 *
 * @param maxInstances to how many instances it may be sent ({@code retry-count}, 1 at least)
 * @param owner whose it is for the queues, and how urgent
 * @param targetMs its latency target, ms
 * @param nestedCall whether an instance of ours calls
 * @param tenant whose request it is; null: nobody's
 * @param operation which operation it is an attempt of; null: of none
 * @param selfDedupe whether the service's instances recognise attempts of one operation
 * @param deadlineMs when its time is over, ms of the steady clock
 */
record RequestPlan(
        String service,
        boolean idempotent,
        int maxInstances,
        SlotOwner owner,
        int targetMs,
        boolean nestedCall,
        Tenant tenant,
        OperationKey operation,
        boolean selfDedupe,
        long deadlineMs) {
    private static final int MIN_CLAIM_WAIT_MS = 40;

    /** Whose a request on this route is for the queues; {@code tenant} is null for nobody's. */
    static SlotOwner owner(Tenant tenant, Route route) {
        return tenant == null
                ? SlotOwner.withoutTenant(route.priority())
                : new SlotOwner(tenant.name(), tenant.priorityOn(route), route.priority());
    }

    /** Whether it needs a right under its tenant's quota. */
    boolean isLimited() {
        return tenant != null && tenant.isLimited();
    }

    /** Whether something has to come before its slot: a right under a quota, a claim on an operation. */
    boolean needsPreparation() {
        return isLimited() || operation != null;
    }

    /**
     * For how long a claim on its operation is waited for, ms: a request that is refused within a quarter of its target
     * can still come again in time.
     */
    int maxClaimWaitMs() {
        return Math.max(MIN_CLAIM_WAIT_MS, targetMs / 5);
    }
}
