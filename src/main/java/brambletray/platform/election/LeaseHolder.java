package brambletray.platform.election;

import brambletray.platform.replication.Member;

/**
 * The holder of a lease.
 *
 * @param term fencing token; increases monotonically, also across restarts and lost disks
 * @param member the member that holds the lease
 */
public record LeaseHolder(long term, Member member) {}
