package brambletray.platform.distribution;

/**
 * The helm to an edge, several times a second: it still holds its term, and what is newest. Opens the link: what the
 * helm says before its first pulse, or after a Welcome without a helm, has no authority. An edge that has less fetches
 * it: so what is large comes at the pace of its link, and a pulse stands behind two chunks at most.
 */
public record CoordinatorHeartbeat(long term, long revision, long rosterNumber) {}
