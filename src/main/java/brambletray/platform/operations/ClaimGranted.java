package brambletray.platform.operations;

/** The claim is durable on enough members: the request may be sent. */
public record ClaimGranted(ClaimId claim) {}
