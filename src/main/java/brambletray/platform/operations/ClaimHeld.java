package brambletray.platform.operations;

/**
 * Another claim came first, and its window is not over.
 *
 * @param holder the other claim
 * @param holderEdge name of the edge that drew it
 */
public record ClaimHeld(ClaimId claim, ClaimId holder, String holderEdge) {}
