package brambletray.platform.proxy;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Tenant;
import brambletray.platform.http.HeaderText;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Finds the tenant of a request by its key, and prepares the headers for the instance: the key is removed, and the
 * tenant name is always set by the proxy (rule UNASKED).
 *
 * @param accepted whether the request may proceed
 * @param tenant the tenant of the request; null for an anonymous request
 * @param credential digest of the request's key, whether or not the configuration has it; null if there is not exactly
 *     one key
 */
record TenantAuthentication(boolean accepted, Tenant tenant, KeyDigest credential) {

    /** Removes keys and tenant names from the headers. Without configured tenants no key is required. */
    static TenantAuthentication of(HttpHeaders headers, Configuration configuration, Route route) {
        List<String> keys = headers.getAll(ClientRequest.CREDENTIAL);
        headers.remove(ClientRequest.CREDENTIAL);
        headers.remove(ClientRequest.TENANT);
        KeyDigest credential = keys.size() == 1 ? KeyDigest.of(HeaderText.decode(keys.get(0))) : null;
        Tenant tenant = credential == null ? null : configuration.tenantForKey(credential);
        if (tenant == null) {
            boolean accepted = route.isPublic() || configuration.tenants().isEmpty();
            return new TenantAuthentication(accepted, null, credential);
        }
        headers.set(ClientRequest.TENANT, HeaderText.encode(tenant.name()));
        return new TenantAuthentication(true, tenant, credential);
    }

    /** Name of the tenant; empty for an anonymous request. */
    String tenantName() {
        return tenant == null ? "" : tenant.name();
    }
}
