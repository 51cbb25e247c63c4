package brambletray.platform.replication;

import java.util.List;

/**
 * What a member knows, for operators and logs.
 *
 * @param standing  where it stands
 * @param me        itself
 * @param number    number of its last view, 0 when none
 * @param before    number of the view that it came from if that was known to be in force (0: the founding), else -1
 * @param members   of that view
 * @param leader    of that view, or null
 * @param leading   whether that is this process
 * @param inForce   whether that view is known to be in force
 * @param settled   whether all that was kept before that view has been delivered here
 * @param commit    last place known to be kept
 * @param delivered last place delivered here
 * @param ill       whether its own disk is in trouble
 * @param lineage   views that its last view came from, each straight from the one before it, as this process has kept
 * them; the last is that of
 *     number {@code before}
 */
public record ReplicaStatus(
        ReplicaRole standing,
        Member me,
        long number,
        long before,
        List<Member> members,
        Member leader,
        boolean leading,
        boolean inForce,
        boolean settled,
        long commit,
        long delivered,
        boolean ill,
        List<ViewMembership> lineage) {
    /** Without a lineage. */
    public ReplicaStatus(
            ReplicaRole standing,
            Member me,
            long number,
            long before,
            List<Member> members,
            Member leader,
            boolean leading,
            boolean inForce,
            boolean settled,
            long commit,
            long delivered,
            boolean ill) {
        this(
                standing, me, number, before, members, leader, leading, inForce, settled, commit, delivered, ill,
                List.of());
    }
}
