package brambletray.platform.configuration;

import brambletray.platform.http.HeaderText;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Tenants by their API keys. */
final class TenantTable {
    private final Map<KeyDigest, Tenant> tenants = new HashMap<>();

    /** Throws {@link ConfigurationException} if two tenants share a key. */
    TenantTable(Collection<Tenant> all) {
        for (Tenant tenant : all) {
            for (KeyDigest digest : tenant.keyDigests()) {
                Tenant other = tenants.put(digest, tenant);
                if (other != null) {
                    throw new ConfigurationException(
                            "shared-key",
                            "tenants[" + ConfigurationJson.abbreviate(tenant.name()) + "].api-keys",
                            "expected keys that no other tenant has, shares one with "
                                    + ConfigurationJson.abbreviate(other.name()));
                }
            }
        }
    }

    /**
     * Throws {@link ConfigurationException} if instances could not tell two tenants apart: the encoded name of one, by
     * {@link HeaderText#encode}, is the name of another.
     */
    static void requireDistinctHeaderValues(Map<String, Tenant> tenants) {
        for (String name : tenants.keySet()) {
            String value = HeaderText.encode(name);
            if (!HeaderText.isCarriedUnchanged(name) && tenants.containsKey(value)) {
                throw new ConfigurationException(
                        "same-header",
                        "tenants[" + ConfigurationJson.abbreviate(value) + "].name",
                        "expected a name that isn't the encoded form of another tenant's");
            }
        }
    }

    /** The tenant that holds the key with this digest, or null if none does. */
    Tenant find(KeyDigest digest) {
        return tenants.get(digest);
    }
}
