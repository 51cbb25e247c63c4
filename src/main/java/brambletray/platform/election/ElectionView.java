package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.ViewMembership;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What a member knows of the active view, and since when. */
final class ElectionView {
    private boolean isMember;
    private long viewNumber;
    private List<Member> members = List.of();
    private long activeSinceMs = Long.MIN_VALUE / 2;
    /** Since when the view before was active here: always, for a member that has seen none. */
    private long previousActiveSinceMs = Long.MIN_VALUE / 2;

    private boolean followsPreviousViewDirectly;
    private List<ViewMembership> lineage = List.of();

    /**
     * Whether this member is in it now, in touch with its leader, and has applied everything that earlier views
     * committed.
     */
    boolean isMember() {
        return isMember;
    }

    /** Number of the last view that it was in. */
    long viewNumber() {
        return viewNumber;
    }

    /** Members of the last view that it was in. */
    List<Member> members() {
        return members;
    }

    /** Since when that view is active here; ms. */
    long activeSinceMs() {
        return activeSinceMs;
    }

    /** The first member that is not this incarnation; 0 if there is none. */
    long firstMemberExcept(long incarnation) {
        for (Member member : members) {
            if (member.incarnation() != incarnation) {
                return member.incarnation();
            }
        }
        return 0;
    }

    /** Takes over the present status; whether the view is another one. */
    boolean update(ReplicaStatus status, long nowMs) {
        // a member alone after a restart has the newest entries on disk, but cannot apply them: it must not act on
        // the state of the snapshot
        isMember = status.role() == ReplicaRole.MEMBER && status.active() && status.settled();
        if (!isMember || viewNumber == status.viewNumber()) {
            return false;
        }
        followsPreviousViewDirectly = status.previousViewNumber() == viewNumber;
        previousActiveSinceMs = activeSinceMs;
        activeSinceMs = nowMs;
        viewNumber = status.viewNumber();
        members = status.members();
        lineage = status.lineage();
        return true;
    }

    /**
     * Whether this view came from that one by views each of which has all its members, with their disks, in this one.
     * Then whoever held the lease in one of them, or won it in the first one last, was granted it by a member of this
     * view, which remembers that.
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

    /** Position in the view, the leader's being 0; -1 for no member. */
    int rank(long incarnation) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).incarnation() == incarnation) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Whether every lease of an earlier view that still runs is known to a member of this one: it followed directly
     * on a view that had been active here for as long as a lease runs, and some member of this view was asked to
     * grant in that one.
     */
    boolean knowsUnexpiredLeases(long nowMs, int vacantMs) {
        return followsPreviousViewDirectly && nowMs - previousActiveSinceMs >= vacantMs;
    }
}
