package brambletray.platform.operations;

/** From an edge to the edge that holds a claim: asks for its result. Answered at once, and again when it has ended. */
public record ResultQuery(long queryId, ClaimId holder) {}
