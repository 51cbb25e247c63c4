package brambletray.platform.replication;

/** What became of a proposal. */
public enum ProposalOutcome {
    /** In the order and kept on enough disks; delivered here just before. */
    COMMITTED,
    /** Not in the order, and it never will be. */
    REJECTED,
    /** May or may not be in the order, now or later. */
    UNKNOWN
}
