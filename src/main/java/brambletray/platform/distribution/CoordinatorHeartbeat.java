package brambletray.platform.distribution;

/**
 * From the coordinator to an edge, several times per second: confirms its term and announces the newest configuration
 * and roster. Messages of the coordinator have no authority before its first heartbeat on the link, or after an {@code
 * EdgeWelcome} without a coordinator. An edge that is behind fetches the data itself, so large data is sent at the pace
 * of its link and a heartbeat waits behind at most two chunks.
 */
public record CoordinatorHeartbeat(long term, long revision, long rosterNumber) {}
