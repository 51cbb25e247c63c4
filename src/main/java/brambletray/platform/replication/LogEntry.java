package brambletray.platform.replication;

/**
 * An entry of the replicated log.
 *
 * @param index position in the log; starts at 1, without gaps
 * @param view ballot of the view whose leader assigned the index; two entries with the same index and view are
 *     identical, and so are all entries before them
 * @param origin identifies the process that proposed the entry; drawn at random on each start
 * @param token number assigned to the proposal by that process
 * @param bytes payload, opaque to this package
 */
public record LogEntry(long index, Ballot view, long origin, long token, byte[] bytes) {}
