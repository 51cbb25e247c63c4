package brambletray.platform.operations;

/**
 * Another claim on the key was made first and has not expired.
 *
 * @param holder the other claim
 * @param holderEdge name of the edge that made it
 */
public record ClaimHeld(ClaimId claim, ClaimId holder, String holderEdge) {}
