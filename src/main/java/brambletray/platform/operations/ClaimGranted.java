package brambletray.platform.operations;

/** The claim is on enough disks: the request may be sent. */
public record ClaimGranted(ClaimId claim) {}
