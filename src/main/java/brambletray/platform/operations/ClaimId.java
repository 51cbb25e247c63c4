package brambletray.platform.operations;

/**
 * Names one claim: drawn by an edge for one attempt of a client, and never drawn again.
 *
 * @param incarnation of the edge process
 * @param sequence counts its claims
 */
public record ClaimId(long incarnation, long sequence) {}
