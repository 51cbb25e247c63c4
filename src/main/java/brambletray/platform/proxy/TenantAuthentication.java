package brambletray.platform.proxy;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Tenant;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Finds the tenant of a request by its key, and prepares the headers for the instance: it never sees the key, and the
 * tenant's name is always ours (rule UNASKED).
 *
 * @param accepted whether the request may go on
 * @param tenant whose request it is; null: nobody's
 */
record TenantAuthentication(boolean accepted, Tenant tenant) {
    private static final TenantAuthentication ANONYMOUS = new TenantAuthentication(true, null);
    private static final TenantAuthentication REJECTED = new TenantAuthentication(false, null);

    /** Takes keys and tenant names out of the headers. Without tenants in the configuration no key is asked for. */
    static TenantAuthentication of(HttpHeaders headers, Configuration configuration, Route route) {
        List<String> keys = headers.getAll(ClientRequest.CREDENTIAL);
        headers.remove(ClientRequest.CREDENTIAL);
        headers.remove(ClientRequest.TENANT);
        if (configuration.tenants().isEmpty()) {
            return ANONYMOUS;
        }
        Tenant tenant =
                keys.size() == 1 ? configuration.tenantForKey(keys.get(0).strip()) : null;
        if (tenant == null) {
            return route.isPublic() ? ANONYMOUS : REJECTED;
        }
        headers.set(ClientRequest.TENANT, tenant.name());
        return new TenantAuthentication(true, tenant);
    }
}
