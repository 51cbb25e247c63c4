package brambletray.platform.configuration;

/**
 * What a client may send and how long it may take.
 *
 * @param maxHeaderBytes of the request line and the headers
 * @param maxBodyBytes of the body
 * @param headerTimeoutMs until the headers have come
 * @param idleTimeoutMs without a request
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    /** Where a configuration states none. */
    static final ClientLimits DEFAULTS = new ClientLimits(16_384, 262_144, 3_000, 15_000);

    static ClientLimits from(JsonFields in) {
        return new ClientLimits(
                in.intOrDefault("max-header-bytes", 1, DEFAULTS.maxHeaderBytes),
                in.intOrDefault("max-body-bytes", 0, DEFAULTS.maxBodyBytes),
                in.intOrDefault("header-timeout-ms", 1, DEFAULTS.headerTimeoutMs),
                in.intOrDefault("idle-timeout-ms", 1, DEFAULTS.idleTimeoutMs));
    }
}
