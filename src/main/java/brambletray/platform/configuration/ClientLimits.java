package brambletray.platform.configuration;

/**
 * What a client may send and how long it may take.
 *
 * @param headerBytes of the request line and the headers
 * @param bodyBytes of the body
 * @param headerMs until the headers have come
 * @param idleMs without a request
 */
public record ClientLimits(int headerBytes, int bodyBytes, int headerMs, int idleMs) {
    /** Where a configuration states none. */
    static final ClientLimits USUAL = new ClientLimits(16_384, 262_144, 3_000, 15_000);

    static ClientLimits from(JsonFields in) {
        return new ClientLimits(
                in.whole("max-header-bytes", 1, USUAL.headerBytes),
                in.whole("max-body-bytes", 0, USUAL.bodyBytes),
                in.whole("header-timeout-ms", 1, USUAL.headerMs),
                in.whole("idle-timeout-ms", 1, USUAL.idleMs));
    }
}
