package brambletray.platform.localsystem;

import brambletray.platform.configuration.Configuration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The small configuration that the stand-in is tried with: a few services that get most of the requests, and more that
 * get few.
 */
final class SampleConfiguration {
    /** Of each kind. */
    static final int BUSY = 2;

    static final int RARE = 10;

    static final String HOST = "sample.example";

    private SampleConfiguration() {}

    /** The body of the first {@code replace}. */
    static byte[] body() {
        List<Object> routes = new ArrayList<>();
        List<Object> services = new ArrayList<>();
        for (int i = 1; i <= BUSY; i++) {
            String service = "busy-" + i;
            routes.add(route("read-" + i, "/read/" + i + '/', "idempotent", 4_000, 500, service));
            routes.add(route("pay-" + i, "/pay/" + i + '/', "non_idempotent", 4_000, 500, service));
            services.add(service(service, 256, 600, 4, 64));
        }
        for (int i = 1; i <= RARE; i++) {
            String service = "rare-" + i;
            routes.add(route("page-" + i, "/page/" + i + '/', "idempotent", 6_000, 1_500, service));
            services.add(service(service, 128, 400, 1, 16));
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("revision", 1L);
        all.put("routes", routes);
        all.put("services", services);
        all.put(
                "limits",
                map(
                        "max-header-bytes",
                        16_384L,
                        "max-body-bytes",
                        262_144L,
                        "header-timeout-ms",
                        3_000L,
                        "idle-timeout-ms",
                        15_000L));
        return JsonValues.bytes(all);
    }

    static Configuration configuration() {
        return Configuration.read(body());
    }

    private static Map<String, Object> route(
            String name, String prefix, String type, long timeout, long target, String service) {
        return map(
                "name",
                name,
                "host",
                HOST,
                "path-prefix",
                prefix,
                "route-type",
                type,
                "timeout-ms",
                timeout,
                "target-ms",
                target,
                "priority",
                type.equals("idempotent") ? 2L : 1L,
                "service",
                service,
                "retry-count",
                2L);
    }

    private static Map<String, Object> service(String name, long memory, long boot, long most, long connections) {
        return map(
                "name",
                name,
                "health-path",
                null,
                "max-connections",
                connections,
                "protocol",
                "h1",
                "tls-mode",
                false,
                "memory-mb",
                memory,
                "boot-ms",
                boot,
                "max-concurrency",
                most);
    }

    private static Map<String, Object> map(Object... facts) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < facts.length; i += 2) {
            map.put((String) facts[i], facts[i + 1]);
        }
        return map;
    }
}
