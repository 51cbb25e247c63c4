package brambletray.platform.configuration;

/**
 * A service that routes send requests to.
 *
 * @param memoryMb memory that one instance host occupies on a worker
 * @param bootMs average start-up time
 * @param maxConcurrency maximum number of concurrent requests of an instance
 * @param maxConnections maximum number of connections that a host accepts from all callers together
 * @param healthPath path of the health check; null if there is none
 * @param selfDedupe whether its instances deduplicate by operation key themselves, so that an interrupted operation may
 *     be sent again
 */
public record Service(
        String name,
        int memoryMb,
        int bootMs,
        int maxConcurrency,
        int maxConnections,
        String healthPath,
        boolean selfDedupe) {
    static Service from(JsonFields in) {
        String name = in.requiredName();
        JsonFields at = in.withPath("services[" + ConfigurationJson.abbreviate(name) + ']');
        return new Service(
                name,
                at.intOrDefault("memory-mb", 1, 128),
                at.intOrDefault("boot-ms", 0, 1_000),
                at.intOrDefault("max-concurrency", 1, 1),
                at.intOrDefault("max-connections", 0, 16),
                at.text("health-path"),
                at.booleanOrDefault("self-dedupe", false));
    }
}
