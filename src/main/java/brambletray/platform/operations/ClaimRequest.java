package brambletray.platform.operations;

/** From an edge to the coordinator: claims an operation. The same request sent again gets the same answer. */
public record ClaimRequest(ClaimId claim, OperationKey key) {}
