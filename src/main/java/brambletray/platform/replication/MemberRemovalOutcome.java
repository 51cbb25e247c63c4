package brambletray.platform.replication;

/** The outcome of an operator's request to remove a member ({@link Replica#removeMember}). */
public enum MemberRemovalOutcome {
    /** On this member's disk; it counts from now on. */
    REMOVED,
    /**
     * No member of the view, or of one of its predecessors, has this address and incarnation; or it is the member
     * that was asked.
     */
    UNKNOWN_MEMBER,
    /** The view works, so nothing waits for the machine. */
    VIEW_IS_HEALTHY,
    /**
     * The machine was heard lately, answered the question that precedes the removal, or this process has not been
     * running for long enough.
     */
    RECENTLY_HEARD,
    /**
     * A majority of a view would be gone then, and no later view could be shown to have everything that was
     * acknowledged.
     */
    MAJORITY_WOULD_BE_LOST,
    /** Another removal is in progress. */
    ANOTHER_PENDING
}
