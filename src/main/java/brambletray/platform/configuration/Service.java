package brambletray.platform.configuration;

/**
 * A service.
 *
 * @param memoryMb what a host of it occupies on a worker
 * @param bootMs how long a start takes on average
 * @param most requests that a host may hold at once
 * @param maxConnections connections that a host accepts, from all callers together
 * @param healthPath null: there is none
 */
public record Service(String name, int memoryMb, int bootMs, int most, int maxConnections, String healthPath) {
    static Service from(JsonFields in) {
        String name = in.name();
        JsonFields at = in.at("services[" + ConfigurationJson.brief(name) + ']');
        return new Service(
                name,
                at.whole("memory-mb", 1, 128),
                at.whole("boot-ms", 0, 1_000),
                at.whole("max-concurrency", 1, 1),
                at.whole("max-connections", 0, 16),
                at.text("health-path"));
    }
}
