package brambletray.platform.replication;

import java.util.List;

/**
 * What a member knows, for operators and logs.
 *
 * @param role  where it stands
 * @param self        itself
 * @param viewNumber    number of its last view, 0 when none
 * @param previousViewNumber    number of the view that it came from if that was known to be in force (0: the founding), else -1
 * @param members   of that view
 * @param leader    of that view, or null
 * @param isLeader   whether that is this process
 * @param active   whether that view is known to be in force
 * @param settled   whether all that was kept before that view has been delivered here
 * @param commitIndex    last place known to be kept
 * @param appliedIndex last place delivered here
 * @param diskUnhealthy       whether its own disk is in trouble
 * @param lineage   views that its last view came from, each straight from the one before it, as this process has kept
 * them; the last is that of
 *     number {@code before}
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
    /** Without a lineage. */
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
