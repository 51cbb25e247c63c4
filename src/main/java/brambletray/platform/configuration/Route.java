package brambletray.platform.configuration;

import java.util.ArrayList;
import java.util.List;

/**
 * A route: requests of a host whose path begins with the prefix go to instances of its services.
 *
 * @param host lower case, without port
 * @param prefix begins and ends with a slash
 * @param kind what may be repeated
 * @param isPublic whether requests need no key of a tenant
 * @param timeoutMs the longest that a request may take; above 0
 * @param latencyTargetMs an answer within it earns its full value
 * @param priority 0 is the highest rank
 * @param retryCount to how many instances one attempt may be sent; the proxy takes 0 as 1
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

    /** The service for a number drawn evenly from 0 to 1 (1 left out). */
    public String selectService(double u) {
        if (shares.size() == 1) {
            return shares.get(0).service();
        }
        double sum = 0;
        for (int i = 0; i < shares.size(); i++) {
            sum += shares.get(i).weight();
        }
        double left = u * sum;
        String last = null;
        for (int i = 0; i < shares.size(); i++) {
            ServiceShare share = shares.get(i);
            if (share.weight() > 0) {
                last = share.service();
                left -= share.weight();
                if (left < 0) {
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
            throw at.error("missing", "host", "expected a host's name");
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
                kind(at),
                at.booleanOrDefault("public", false),
                timeout,
                at.intOrDefault("target-ms", 0, timeout),
                at.intOrDefault("priority", 0, 0),
                at.intOrDefault("retry-count", 0, 1),
                shares(at));
    }

    private static RouteKind kind(JsonFields in) {
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
     * One service by its name, or several with weights: a list of names or of objects with {@code service} (or
     * {@code name}) and {@code weight}, or an object of names with weights, under any of the words below. The pages
     * name weights and show no example.
     */
    private static List<ServiceShare> shares(JsonFields in) {
        String under = null;
        for (String word : new String[] {"split", "services", "weights", "service"}) {
            if (in.has(word)) {
                under = word;
                break;
            }
        }
        if (under == null) {
            throw in.error("missing", "service", "expected a service's name");
        }
        List<ServiceShare> shares = new ArrayList<>(1);
        Object value = in.value(under);
        if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                shares.add(parseShare(in, under + '[' + i + ']', ((ConfigurationJson.Value) list.get(i)).content()));
            }
        } else if (value instanceof java.util.Map<?, ?>) {
            JsonFields weights = in.object(under);
            for (String service : weights.fieldNames()) {
                shares.add(new ServiceShare(service, weights.nonNegativeDouble(service, 1)));
            }
        } else {
            return List.of(new ServiceShare(in.requiredText(under), 1));
        }
        double sum = 0;
        for (ServiceShare share : shares) {
            sum += share.weight();
        }
        if (!(sum > 0) || Double.isInfinite(sum)) {
            throw in.error("no-weight", under, "expected weights that add up to more than 0");
        }
        return List.copyOf(shares);
    }

    private static ServiceShare parseShare(JsonFields in, String at, Object value) {
        if (value instanceof String service && !service.isEmpty()) {
            return new ServiceShare(service, 1);
        }
        JsonFields part = in.objectAt(at, value);
        return new ServiceShare(
                part.requiredText(part.has("service") ? "service" : "name"), part.nonNegativeDouble("weight", 1));
    }
}
