package brambletray.platform.replication;

/** The role of a member, as reported in its status. */
public enum ReplicaRole {
    /** One of the seeds of a control plane that has no first view yet. */
    FOUNDING,
    /** In an active view whose leader is healthy. */
    MEMBER,
    /** In a view without a responsive leader, or with a view change in progress. */
    SUSPENDED,
    /** Outside the view, sending join requests. */
    JOINING
}
