package brambletray.platform.replication;

/**
 * One change in the order.
 *
 * @param index  place in the order, from 1, without gaps
 * @param view   view whose leader gave the place; two entries with the same place and view are the same, and so is all
 * before them
 * @param origin process that proposed it (drawn at each start)
 * @param token  that process's own number for it
 * @param bytes  opaque here
 */
public record LogEntry(long index, Ballot view, long origin, long token, byte[] bytes) {}
