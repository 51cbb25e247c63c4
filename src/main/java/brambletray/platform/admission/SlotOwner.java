package brambletray.platform.admission;

/**
 * Whose request asks for a slot, and how urgent it is.
 *
 * @param tenant its name; empty: nobody's
 * @param priority 0 is the highest rank: the tenant's, or the route's where the tenant names none
 * @param routePriority the route's; decides between equal priorities of tenants; 0 for nobody's requests
 */
public record SlotOwner(String tenant, int priority, int routePriority) {

    /** Nobody's request on a route of this priority. */
    public static SlotOwner withoutTenant(int priority) {
        return new SlotOwner("", priority, 0);
    }

    /** Whether it is a tenant's request. */
    boolean isTenant() {
        return !tenant.isEmpty();
    }
}
