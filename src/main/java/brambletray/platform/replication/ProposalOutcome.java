package brambletray.platform.replication;

/** The outcome of a proposal. */
public enum ProposalOutcome {
    /** Committed, and applied here just before. */
    COMMITTED,
    /** Not in the log, and it never will be. */
    REJECTED,
    /** May or may not be in the log, now or later. */
    UNKNOWN
}
