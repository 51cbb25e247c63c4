package brambletray.platform.replication;

/** The outcome of a proposal, as reported to the proposing process. */
public enum ProposalOutcome {
    /** Committed, and already applied at the proposing process. */
    COMMITTED,
    /** Not in the log, and never will be. */
    REJECTED,
    /** May or may not be, or become, part of the log. */
    UNKNOWN
}
