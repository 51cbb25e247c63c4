package brambletray.platform.proxy;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Tenant;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Finds the tenant of a request by its key, and prepares the headers for the instance: the key is removed, and the
 * tenant name is always set by the proxy (rule UNASKED).
 *
 * @param accepted whether the request may proceed
 * @param tenant the tenant of the request; null for an anonymous request
 */
record TenantAuthentication(boolean accepted, Tenant tenant) {
    private static final TenantAuthentication ANONYMOUS = new TenantAuthentication(true, null);
    private static final TenantAuthentication REJECTED = new TenantAuthentication(false, null);

    /** Removes keys and tenant names from the headers. Without configured tenants no key is required. */
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
