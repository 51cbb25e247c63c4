package brambletray.platform.replication;

import java.util.List;

/**
 * What a member knows, for operators and logs.
 *
 * @param role its role
 * @param self itself
 * @param viewNumber number of its last view, 0 when none
 * @param previousViewNumber number of the view that it came from if that was known to be active (0: the founding),
 *     else -1
 * @param members of that view
 * @param leader of that view, or null
 * @param isLeader whether that is this process
 * @param active whether that view is known to be active
 * @param settled whether everything that earlier views committed has been applied here
 * @param commitIndex last index known to be committed
 * @param appliedIndex last index applied here
 * @param diskUnhealthy whether writes fail or take too long here
 * @param lineage views that its last view came from, each directly from the one before it, as this process has seen
 *     them; the last is that of number {@code previousViewNumber}
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
    /** The status of a member without a lineage. */
    public ReplicaStatus(
            ReplicaRole role,
            Member self,
            long viewNumber,
            long previousViewNumber,
            List<Member> replica,
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
                replica,
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
