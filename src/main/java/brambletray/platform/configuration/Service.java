package brambletray.platform.configuration;

/**
 * A service.
 *
 * @param memoryMb what a host of it occupies on a worker
 * @param bootMs how long a start takes on average
 * @param maxConcurrency requests that an instance may have at a time
 * @param maxConnections connections that a host accepts, from all callers together
 * @param healthPath null: there is none
 * @param selfDedupe whether its instances keep a record of operation keys of their own, so that an operation whose run
 *     broke off may be sent again
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
