package brambletray.platform.distribution;

/**
 * An edge asks the helm for a chunk of what it lacks of the configuration; it also says what it has, and does so alone
 * when it has just taken a version.
 *
 * @param revision that it serves by; 0: none
 * @param transferId the transfer that it goes on with; 0: a new one
 * @param offset bytes of it that it needn't be sent
 * @param full a difference didn't lead where it should: it wants the whole
 */
public record DeltaRequest(long revision, long transferId, int offset, boolean full) {}
