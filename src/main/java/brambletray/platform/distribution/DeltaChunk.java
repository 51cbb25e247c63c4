package brambletray.platform.distribution;

/**
 * The coordinator's answer to a {@link DeltaRequest}: some bytes of a compressed {@link
 * brambletray.platform.configuration.ConfigurationDelta}.
 *
 * @param revision that the delta leads to
 * @param transferId a digest of all bytes of the delta, so that any coordinator can go on with it
 * @param totalBytes bytes of the delta
 * @param offset of these bytes
 */
public record DeltaChunk(long term, long revision, long transferId, int totalBytes, int offset, byte[] bytes) {
    /**
     * Bytes of a chunk, but for the last: 33 ms of a link of 2 Mbit/s, which a heartbeat or a request may have to wait
     * behind it.
     */
    public static final int CHUNK_BYTES = 8 << 10;
    /** Bytes of a transfer: the longest configuration, packed however badly. */
    static final int MAX_TOTAL_BYTES = 9 << 20;
}
