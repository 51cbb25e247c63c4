package brambletray.platform.proxy;

import brambletray.platform.admission.SlotOwner;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.operations.OperationIdentity;

/**
 * Parameters of one request.
 *
 * @param maxInstances the number of instances to which it may be sent ({@code retry-count}, at least 1)
 * @param owner its owner and priority for the queues
 * @param targetMs its latency target, in ms
 * @param nestedCall whether the caller is itself an instance
 * @param tenant the tenant that sent it; null for an anonymous request
 * @param operation the operation that it is an attempt of; null for none
 * @param selfDedupe whether the service's instances recognise attempts of the same operation
 * @param deadlineMs its deadline, in ms of the steady clock
 */
record RequestPlan(
        String service,
        boolean idempotent,
        int maxInstances,
        SlotOwner owner,
        int targetMs,
        boolean nestedCall,
        Tenant tenant,
        OperationIdentity operation,
        boolean selfDedupe,
        long deadlineMs) {
    private static final int MIN_CLAIM_WAIT_MS = 40;

    /** Owner of a request on this route for the queues; {@code tenant} is null for an anonymous request. */
    static SlotOwner owner(Tenant tenant, Route route) {
        return tenant == null
                ? SlotOwner.withoutTenant(route.priority())
                : new SlotOwner(tenant.name(), tenant.priorityOn(route), route.priority());
    }

    /** Whether the request needs a right under its tenant's quota. */
    boolean isLimited() {
        return tenant != null && tenant.isLimited();
    }

    /** Whether a right under a quota or a claim on an operation is needed before the slot request. */
    boolean needsPreparation() {
        return isLimited() || operation != null;
    }

    /**
     * Maximum wait in ms for a claim on its operation: a request that is refused within a quarter of its latency target
     * can still be retried in time.
     */
    int maxClaimWaitMs() {
        return Math.max(MIN_CLAIM_WAIT_MS, targetMs / 5);
    }
}
