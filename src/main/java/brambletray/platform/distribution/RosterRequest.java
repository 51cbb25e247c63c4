package brambletray.platform.distribution;

/**
 * An edge asks the coordinator for its newest roster, as a heartbeat announces a later one than it has: one request
 * at a time.
 */
public record RosterRequest(long term, long rosterNumber) {}
