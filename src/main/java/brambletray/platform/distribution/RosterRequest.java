package brambletray.platform.distribution;

/**
 * An edge asks the helm for its newest roster, as a pulse speaks of a later one than it has: one question at a time.
 */
public record RosterRequest(long term, long rosterNumber) {}
