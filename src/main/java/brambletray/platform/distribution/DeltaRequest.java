package brambletray.platform.distribution;

/**
 * An edge asks the coordinator for a chunk of what it lacks of the configuration; it also says what it has, and sends
 * that alone when it has just applied a revision.
 *
 * @param revision that it serves by; 0: none
 * @param transferId the transfer that it goes on with; 0: a new one
 * @param offset bytes of it that it has
 * @param full a delta did not lead where it should: it wants the full configuration
 */
public record DeltaRequest(long revision, long transferId, int offset, boolean full) {}
