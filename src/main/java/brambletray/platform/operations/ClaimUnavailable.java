package brambletray.platform.operations;

/** The claim could not be committed now. It may still come to be; the edge releases it or claims again. */
public record ClaimUnavailable(ClaimId claim, int retryAfterMs) {}
