package brambletray.platform.election;

import brambletray.platform.replication.Member;

/**
 * The holder of a lease.
 *
 * @param term fencing token: it only grows, over restarts and lost disks
 * @param member that holds the lease
 */
public record LeaseHolder(long term, Member member) {}
