package brambletray.platform.operations;

/** The answer to a {@link ClaimRelease}: it is committed, or there was nothing to release. */
public record ClaimReleased(ClaimId claim) {}
