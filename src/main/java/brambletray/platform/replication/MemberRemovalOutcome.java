package brambletray.platform.replication;

/** The outcome of an operator's request to remove a member ({@link Replica#removeMember}). */
public enum MemberRemovalOutcome {
    /** The removal is on this member's disk and takes effect from now on. */
    REMOVED,
    /**
     * No member of the view, or of one of its predecessors, has this address and incarnation; or it is the member that
     * received the request.
     */
    UNKNOWN_MEMBER,
    /** The view is operational, so nothing waits for the machine. */
    VIEW_IS_HEALTHY,
    /**
     * The machine was heard from recently, answered the identity request that precedes the removal, or this process has
     * not been running for long enough to tell.
     */
    RECENTLY_HEARD,
    /**
     * A majority of a view would be lost, so no later view could be shown to contain every acknowledged entry.
     */
    MAJORITY_WOULD_BE_LOST,
    /** Another removal is in progress. */
    ANOTHER_PENDING
}
