package brambletray.platform.distribution;

/**
 * From an edge to the coordinator: requests the next chunk of a newer configuration and reports the revision that the
 * edge has. After applying a revision the edge also sends one just to report it.
 *
 * @param revision the revision that the edge has applied; 0: none
 * @param transferId the transfer to continue; 0: a new one
 * @param offset position in the transfer from which bytes are requested
 * @param full whether the full configuration is requested, as a delta was rejected
 */
public record DeltaRequest(long revision, long transferId, int offset, boolean full) {}
