package brambletray.platform.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Routes by host and prefix: one lookup for the host, then one for each slash of the path, from its end. */
final class RouteTable {
    private static final class HostRoutes {
        final Map<String, Route> routes = new HashMap<>();
        int longestPrefix;
    }

    private final Map<String, HostRoutes> hosts = new HashMap<>();

    /** Throws {@link ConfigurationException} if two routes have the same host and prefix. */
    RouteTable(Collection<Route> routes) {
        for (Route route : routes) {
            HostRoutes host = hosts.computeIfAbsent(route.host(), h -> new HostRoutes());
            Route other = host.routes.put(route.prefix(), route);
            if (other != null) {
                throw new ConfigurationException(
                        "same-place",
                        "routes[" + ConfigurationJson.abbreviate(route.name()) + "].path-prefix",
                        "expected a unique host and prefix, shares them with "
                                + ConfigurationJson.abbreviate(other.name()));
            }
            host.longestPrefix = Math.max(host.longestPrefix, route.prefix().length());
        }
    }

    /** The route with the longest prefix of this path, with or without query; null if there is none. */
    Route match(CharSequence name, String path) {
        HostRoutes host = hosts.get(normalizeHost(name));
        if (host == null) {
            return null;
        }
        // Starting at the longest prefix bounds the number of lookups for paths with many slashes.
        int slash = Math.min(path.length(), host.longestPrefix) - 1;
        while ((slash = path.lastIndexOf('/', slash)) >= 0) {
            Route route = host.routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
            slash--;
        }
        return null;
    }

    /** Normalizes a host name: lower case, without port. */
    static String normalizeHost(CharSequence host) {
        String text = host.toString();
        int colon = text.lastIndexOf(':');
        if (colon >= 0 && text.indexOf(']', colon) < 0) {
            text = text.substring(0, colon);
        }
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c >= 'A' && c <= 'Z' || c > 127) {
                return text.toLowerCase(Locale.ROOT);
            }
        }
        return text;
    }
}
