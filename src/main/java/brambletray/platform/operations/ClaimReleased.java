package brambletray.platform.operations;

/** The release is committed, or there was nothing to release. */
public record ClaimReleased(ClaimId claim) {}
