package brambletray.platform.admission;

/**
 * The tenant and the priority of a slot request.
 *
 * @param tenant the tenant's name; empty: no tenant
 * @param priority 0 is the highest; the tenant's, or the route's if the tenant has none
 * @param routePriority the route's priority, which orders requests of equal tenant priority; 0 without a tenant
 */
public record SlotOwner(String tenant, int priority, int routePriority) {

    /** The owner of requests without a tenant on a route of this priority. */
    public static SlotOwner withoutTenant(int priority) {
        return new SlotOwner("", priority, 0);
    }

    /** Whether the request belongs to a tenant. */
    boolean isTenant() {
        return !tenant.isEmpty();
    }
}
