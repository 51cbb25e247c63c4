package brambletray.platform.operations;

/** From an edge: the request of this claim has not run and never will, so the key can be claimed again. */
public record ClaimRelease(ClaimId claim, OperationKey key) {}
