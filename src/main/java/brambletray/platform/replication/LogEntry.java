package brambletray.platform.replication;

/**
 * One entry of the log.
 *
 * @param index position, from 1, without gaps
 * @param view ballot of the view whose leader assigned the index; two entries with the same index and view are the
 *     same, and so is everything before them
 * @param origin process that proposed it, drawn at random at each start
 * @param token the number that the process has given it
 * @param bytes the change; opaque here
 */
public record LogEntry(long index, Ballot view, long origin, long token, byte[] bytes) {}
