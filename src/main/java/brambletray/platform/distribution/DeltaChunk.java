package brambletray.platform.distribution;

/**
 * The coordinator's answer to a {@link DeltaRequest}: a part of a compressed {@link
 * brambletray.platform.configuration.ConfigurationDelta}.
 *
 * @param revision the revision that the delta leads to
 * @param transferId digest of the complete compressed delta, by which any coordinator can continue the transfer
 * @param totalBytes size of the compressed delta
 * @param offset position of this chunk in the compressed delta
 */
public record DeltaChunk(long term, long revision, long transferId, int totalBytes, int offset, byte[] bytes) {
    /**
     * Size of every chunk but the last. It takes 33 ms on a 2 Mbit/s link, which is how long a heartbeat or a request
     * may have to wait behind it.
     */
    public static final int CHUNK_BYTES = 8 << 10;
    /** Maximum size of a transfer: the longest configuration, even if it is incompressible. */
    static final int MAX_TOTAL_BYTES = 9 << 20;
}
