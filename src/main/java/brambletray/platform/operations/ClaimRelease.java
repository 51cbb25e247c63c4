package brambletray.platform.operations;

/** From an edge: the request of this claim has not run and never will. The key is free again. */
public record ClaimRelease(ClaimId claim, OperationKey key) {}
