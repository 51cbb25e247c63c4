package brambletray.platform.operations;

/** The claim was not committed, but still may be later: the edge must release it or repeat the request. */
public record ClaimUnavailable(ClaimId claim, int retryAfterMs) {}
