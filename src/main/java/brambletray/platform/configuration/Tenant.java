package brambletray.platform.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A tenant: its API keys, its priority and its rate limit over all edges together. Keys are secrets and appear in no
 * log line and no error message.
 *
 * @param keyDigests digests of its API keys; if empty, no request can be attributed to this tenant
 * @param priority 0 is the highest; overrides the route's priority unless it is {@link #NO_PRIORITY}
 * @param ratePerS maximum requests per second; 0 for no limit
 * @param burstSize number of requests that may exceed the rate at one time
 */
public record Tenant(String name, List<KeyDigest> keyDigests, int priority, double ratePerS, double burstSize) {
    /** The value for a tenant without a priority of its own. */
    public static final int NO_PRIORITY = -1;

    /** The priority of the tenant's requests on a route. */
    public int priorityOn(Route route) {
        return priority == NO_PRIORITY ? route.priority() : priority;
    }

    /** Whether the tenant has a rate limit. */
    public boolean isLimited() {
        return ratePerS > 0;
    }

    static Tenant from(JsonFields in) {
        String name = in.requiredName();
        JsonFields at = in.withPath("tenants[" + ConfigurationJson.abbreviate(name) + ']');
        return new Tenant(
                name,
                keyDigests(at),
                at.intOrDefault("priority", 0, NO_PRIORITY),
                at.nonNegativeDouble("rate-per-s", 0),
                at.nonNegativeDouble("burst-size", 0));
    }

    private static List<KeyDigest> keyDigests(JsonFields in) {
        List<ConfigurationJson.Value> keys = in.list("api-keys");
        if (keys == null) {
            return List.of();
        }
        Set<KeyDigest> seen = new HashSet<>();
        List<KeyDigest> digests = new ArrayList<>(keys.size());
        for (int i = 0; i < keys.size(); i++) {
            if (!(keys.get(i).content() instanceof String key) || key.isEmpty()) {
                throw in.error("bad-key", "api-keys[" + i + ']', "expected a text that is not empty");
            }
            KeyDigest digest = KeyDigest.of(key);
            if (!seen.add(digest)) {
                throw in.error("repeated-key", "api-keys[" + i + ']', "expected each key once");
            }
            digests.add(digest);
        }
        return List.copyOf(digests);
    }
}
