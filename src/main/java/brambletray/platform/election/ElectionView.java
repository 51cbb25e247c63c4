package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.ViewMembership;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What a member knows of the view in force, and since when. */
final class ElectionView {
    /**
     * Whether this member is in it now, in touch with its leader, and has delivered all that earlier views may have
     * acknowledged.
     */
    boolean isMember;
    /** Number and members of the last view that it was in. */
    long viewNumber;

    List<Member> members = List.of();
    long activeSinceMs = Long.MIN_VALUE / 2;
    /** Since when the view before was in force here: ever, for who has seen none. */
    private long previousActiveSinceMs = Long.MIN_VALUE / 2;

    private boolean followsDirectly;
    private List<ViewMembership> lineage = List.of();

    /** Takes in how it stands now; true when the view is another one. */
    boolean update(ReplicaStatus status, long nowMs) {
        // one alone after a restart has the newest changes on disk, but can't deliver them: it must not act on the
        // snapshot's state
        isMember = status.role() == ReplicaRole.MEMBER && status.active() && status.settled();
        if (!isMember || viewNumber == status.viewNumber()) {
            return false;
        }
        followsDirectly = status.previousViewNumber() == viewNumber;
        previousActiveSinceMs = activeSinceMs;
        activeSinceMs = nowMs;
        viewNumber = status.viewNumber();
        members = status.members();
        lineage = status.lineage();
        return true;
    }

    /**
     * Whether this view came from the one of that number by views each of which has all its members, with their disks,
     * in this one. Then whoever held
     * the duty in one of them, or won it in the first one last, was granted it by a member of this view, which
     * remembers that.
     */
    boolean descendsFrom(long number) {
        int first = -1;
        for (int i = 0; i < lineage.size(); i++) {
            if (lineage.get(i).ballot().number() == number) {
                first = i;
            }
        }
        if (first < 0) {
            return false;
        }
        Set<Long> incarnations = new HashSet<>();
        members.forEach(member -> incarnations.add(member.incarnation()));
        for (ViewMembership between : lineage.subList(first + 1, lineage.size())) {
            for (Member member : between.members()) {
                if (!incarnations.contains(member.incarnation())) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Place in the list of the view, the leader's being 0; -1 when not in. */
    int rank(long incarnation) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).incarnation() == incarnation) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Whether any lease of an earlier view that still runs is known to a member of this one: it followed at once on one
     * that had been in force here for as long as a lease is held to run, and some member of this view was asked to
     * agree in that one.
     */
    boolean knowsRunningLeases(long nowMs, int vacantMs) {
        return followsDirectly && nowMs - previousActiveSinceMs >= vacantMs;
    }
}
