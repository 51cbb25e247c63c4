package brambletray.platform.operations;

/** From an edge to the edge that holds a claim: what became of it. Answered at once, and again when it has ended. */
public record ResultQuery(long queryId, ClaimId holder) {}
