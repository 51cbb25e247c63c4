package brambletray.platform.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A route: requests to a host whose path begins with the prefix are sent to instances of its services.
 *
 * @param host lower case, without port
 * @param prefix begins and ends with a slash
 * @param kind whether requests may be repeated
 * @param isPublic whether requests are accepted without a tenant's API key
 * @param timeoutMs maximum duration of a request; above 0
 * @param latencyTargetMs a response within this time counts with its full value
 * @param priority 0 is the highest priority
 * @param retryCount number of instances that one attempt may be sent to; the proxy treats 0 as 1
 * @param shares services with their weights, at least one weight above 0
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        boolean isPublic,
        int timeoutMs,
        int latencyTargetMs,
        int priority,
        int retryCount,
        List<ServiceShare> shares) {

    /** Whether a request may run more than once. */
    public boolean idempotent() {
        return kind == RouteKind.IDEMPOTENT;
    }

    /** Selects a service by weight. {@code u} is a random number, uniformly distributed over [0, 1). */
    public String selectService(double u) {
        if (shares.size() == 1) {
            return shares.get(0).service();
        }
        double sum = 0;
        for (int i = 0; i < shares.size(); i++) {
            sum += shares.get(i).weight();
        }
        double remaining = u * sum;
        String last = null;
        for (int i = 0; i < shares.size(); i++) {
            ServiceShare share = shares.get(i);
            if (share.weight() > 0) {
                last = share.service();
                remaining -= share.weight();
                if (remaining < 0) {
                    return last;
                }
            }
        }
        return last;
    }

    static Route from(JsonFields in) {
        String name = in.requiredName();
        JsonFields at = in.withPath("routes[" + ConfigurationJson.abbreviate(name) + ']');
        String host = RouteTable.normalizeHost(at.requiredText("host"));
        if (host.isEmpty()) {
            throw at.error("missing", "host", "expected a host name");
        }
        String prefix = at.requiredText("path-prefix");
        if (prefix.charAt(0) != '/' || prefix.charAt(prefix.length() - 1) != '/') {
            throw at.error(
                    "bad-prefix",
                    "path-prefix",
                    "expected a path that begins and ends with a slash, found " + ConfigurationJson.abbreviate(prefix));
        }
        int timeout = at.intOrDefault("timeout-ms", 1, 60_000);
        return new Route(
                name,
                host,
                prefix,
                parseKind(at),
                at.booleanOrDefault("public", false),
                timeout,
                at.intOrDefault("target-ms", 0, timeout),
                at.intOrDefault("priority", 0, 0),
                at.intOrDefault("retry-count", 0, 1),
                parseShares(at));
    }

    private static RouteKind parseKind(JsonFields in) {
        String word = in.requiredText("route-type");
        RouteKind kind = RouteKind.of(word);
        if (kind == null) {
            throw in.error(
                    "bad-route-type",
                    "route-type",
                    "expected idempotent, non_idempotent or keyed, found " + ConfigurationJson.abbreviate(word));
        }
        return kind;
    }

    /**
     * Parses the service of a route: one service name, or several services with weights, given as a list of names, as a
     * list of objects with {@code service} (or {@code name}) and {@code weight}, or as an object that maps names to
     * weights. Several field names are accepted because the specification mentions weights without showing an example.
     */
    private static List<ServiceShare> parseShares(JsonFields in) {
        String sharesField = null;
        for (String candidate : new String[] {"split", "services", "weights", "service"}) {
            if (in.has(candidate)) {
                sharesField = candidate;
                break;
            }
        }
        if (sharesField == null) {
            throw in.error("missing", "service", "expected a service name");
        }
        List<ServiceShare> shares = new ArrayList<>(1);
        Object value = in.value(sharesField);
        if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                shares.add(
                        parseShare(in, sharesField + '[' + i + ']', ((ConfigurationJson.Value) list.get(i)).content()));
            }
        } else if (value instanceof java.util.Map<?, ?>) {
            JsonFields weights = in.object(sharesField);
            for (String service : weights.fieldNames()) {
                shares.add(new ServiceShare(service, weights.nonNegativeDouble(service, 1)));
            }
        } else {
            return List.of(new ServiceShare(in.requiredText(sharesField), 1));
        }
        double sum = 0;
        for (ServiceShare share : shares) {
            sum += share.weight();
        }
        if (!(sum > 0) || Double.isInfinite(sum)) {
            throw in.error("no-weight", sharesField, "expected weights that add up to more than 0");
        }
        return List.copyOf(shares);
    }

    private static ServiceShare parseShare(JsonFields in, String itemPath, Object value) {
        if (value instanceof String service && !service.isEmpty()) {
            return new ServiceShare(service, 1);
        }
        JsonFields fields = in.objectAt(itemPath, value);
        return new ServiceShare(
                fields.requiredText(fields.has("service") ? "service" : "name"), fields.nonNegativeDouble("weight", 1));
    }
}
