package brambletray.platform.replication;

/** What became of an operator's order that declares a member's machine dead ({@link Replica#removeMember}). */
public enum MemberRemovalOutcome {
    /** Kept on this member's disk; it counts from now on. */
    REMOVED,
    /**
     * No member of the view, or of one that it came from, has this address and life; or it is the member that was
     * asked.
     */
    UNKNOWN_MEMBER,
    /** The view is at work, so nothing waits for the machine. */
    VIEW_IS_HEALTHY,
    /**
     * It was heard lately, answered the question that precedes the declaration, or this process hasn't listened for
     * long enough.
     */
    RECENTLY_HEARD,
    /**
     * As many members as a majority would be dead then, and no later view could be shown to have all that was
     * acknowledged.
     */
    MAJORITY_WOULD_BE_LOST,
    /** Another order is being looked into. */
    ANOTHER_PENDING
}
