package brambletray.platform.distribution;

/**
 * From the coordinator to an edge, several times a second: it still holds its term, and which configuration and
 * roster are the newest. Opens the link: what the coordinator sends before its first heartbeat, or after an {@code
 * EdgeWelcome} without a coordinator, has no authority. An edge that has less fetches it, so large data comes at the
 * pace of its link, and a heartbeat waits behind two chunks at most.
 */
public record CoordinatorHeartbeat(long term, long revision, long rosterNumber) {}
