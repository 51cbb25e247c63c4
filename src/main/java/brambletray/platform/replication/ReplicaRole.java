package brambletray.platform.replication;

/** The role of a member, as status and operators see it. */
public enum ReplicaRole {
    /** One of the seeds of a core that is not yet founded. */
    FOUNDING,
    /** In an active view, and in touch with its leader. */
    MEMBER,
    /** In a view whose leader is not heard, or that is being changed. */
    SUSPENDED,
    /** Outside the view; asks to join. */
    JOINING
}
