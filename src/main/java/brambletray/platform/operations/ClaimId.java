package brambletray.platform.operations;

/**
 * Identifies one claim. An edge creates it for one attempt of a client and never reuses it.
 *
 * @param incarnation incarnation of the edge process
 * @param sequence number of the claim within that process
 */
public record ClaimId(long incarnation, long sequence) {}
