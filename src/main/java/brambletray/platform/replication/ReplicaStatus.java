package brambletray.platform.replication;

import java.util.List;

/**
 * The status of a member, for operators and logs.
 *
 * @param role the role of the member
 * @param self the member itself
 * @param viewNumber number of its last view, 0 if none
 * @param previousViewNumber number of the direct predecessor of that view if it was known to be active (0 for the
 *     founding view), else -1
 * @param members the members of that view
 * @param leader the leader of that view, or null
 * @param isLeader whether this process is the leader
 * @param active whether that view is known to be active
 * @param settled whether everything that earlier views committed has been applied here
 * @param commitIndex last index known to be committed
 * @param appliedIndex last index applied here
 * @param diskUnhealthy whether writes fail or take too long here
 * @param lineage predecessors of the last view that this process has observed, each the direct predecessor of the next;
 *     the last one has number {@code previousViewNumber}
 */
public record ReplicaStatus(
        ReplicaRole role,
        Member self,
        long viewNumber,
        long previousViewNumber,
        List<Member> members,
        Member leader,
        boolean isLeader,
        boolean active,
        boolean settled,
        long commitIndex,
        long appliedIndex,
        boolean diskUnhealthy,
        List<ViewMembership> lineage) {
    /** Creates a status with an empty lineage. */
    public ReplicaStatus(
            ReplicaRole role,
            Member self,
            long viewNumber,
            long previousViewNumber,
            List<Member> members,
            Member leader,
            boolean isLeader,
            boolean active,
            boolean settled,
            long commitIndex,
            long appliedIndex,
            boolean diskUnhealthy) {
        this(
                role,
                self,
                viewNumber,
                previousViewNumber,
                members,
                leader,
                isLeader,
                active,
                settled,
                commitIndex,
                appliedIndex,
                diskUnhealthy,
                List.of());
    }
}
