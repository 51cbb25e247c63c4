package brambletray.platform.distribution;

/**
 * From an edge to the coordinator: requests the newest roster, after a heartbeat has announced a later one than the
 * edge has. An edge has at most one such request pending.
 */
public record RosterRequest(long term, long rosterNumber) {}
