package brambletray.platform.replication;

/** Where a member stands. */
public enum ReplicaRole {
    /** One of the seeds of a core that is not yet founded. */
    FOUNDING,
    /** In a view that is in force, and in touch with its leader. */
    MEMBER,
    /** Of a view whose leader isn't heard, or that is being changed. */
    SUSPENDED,
    /** Not in the view; asks to be let in. */
    JOINING
}
