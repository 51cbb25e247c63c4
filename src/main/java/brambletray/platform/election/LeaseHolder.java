package brambletray.platform.election;

import brambletray.platform.replication.Member;

/**
 * Who has a duty.
 *
 * @param term   fence: grows only, over restarts and lost disks
 * @param member that holds it
 */
public record LeaseHolder(long term, Member member) {}
