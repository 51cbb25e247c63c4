package brambletray.platform.configuration;

/**
 * Limits for the size of client requests and for the time that clients may take.
 *
 * @param maxHeaderBytes maximum size of the request line and headers
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeoutMs maximum time until the headers are received
 * @param idleTimeoutMs maximum time without a request
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    /** The limits of a configuration that specifies none. */
    static final ClientLimits DEFAULTS = new ClientLimits(16_384, 262_144, 3_000, 15_000);

    /** The larger of both, limit by limit. */
    public ClientLimits max(ClientLimits other) {
        return new ClientLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headerTimeoutMs, other.headerTimeoutMs),
                Math.max(idleTimeoutMs, other.idleTimeoutMs));
    }

    static ClientLimits from(JsonFields in) {
        return new ClientLimits(
                in.intOrDefault("max-header-bytes", 1, DEFAULTS.maxHeaderBytes),
                in.intOrDefault("max-body-bytes", 0, DEFAULTS.maxBodyBytes),
                in.intOrDefault("header-timeout-ms", 1, DEFAULTS.headerTimeoutMs),
                in.intOrDefault("idle-timeout-ms", 1, DEFAULTS.idleTimeoutMs));
    }
}
