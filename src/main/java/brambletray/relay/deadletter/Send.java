package brambletray.relay.deadletter;

/**
 * One send of a message, as far as it is known.
 *
 * @param sent Unix time, ms: before its first byte went out
 * @param zone of its host; -1 for not known
 * @param mayHaveRun false where its outcome proved that it never ran
 */
public record Send(long sent, int zone, boolean mayHaveRun) {}
