package brambletray.platform.distribution;

/**
 * The helm's answer to a {@link DeltaRequest}: some bytes of a packed {@link
 * brambletray.platform.configuration.ConfigurationDelta}.
 *
 * @param revision that it leads to
 * @param transferId which transfer: a digest of all its bytes, so that any helm can go on with it
 * @param totalBytes bytes of all of it
 * @param offset of these
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
