package brambletray.platform.operations;

/** From an edge to the coordinator: claims an operation. Repeating the same request gives the same answer. */
public record ClaimRequest(ClaimId claim, OperationIdentity operation) {}
