package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaRole;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.ViewMembership;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The active view as this member knows it, and since when it has been active here. */
final class ElectionView {
    private boolean isMember;
    private long viewNumber;
    private List<Member> members = List.of();
    private long activeSinceMs = Long.MIN_VALUE / 2;
    /** Time at which the previous view became active here; far in the past if this member has seen no previous view. */
    private long previousActiveSinceMs = Long.MIN_VALUE / 2;

    private boolean followsPreviousViewDirectly;
    private List<ViewMembership> lineage = List.of();

    /**
     * Whether this member is in the active view now, is in contact with its leader, and has applied everything that
     * earlier views committed.
     */
    boolean isMember() {
        return isMember;
    }

    /** Number of the last view that this member was in. */
    long viewNumber() {
        return viewNumber;
    }

    /** Members of the last view that this member was in. */
    List<Member> members() {
        return members;
    }

    /** When that view became active here; ms. */
    long activeSinceMs() {
        return activeSinceMs;
    }

    /** The first member other than this incarnation; 0 if there is none. */
    long firstMemberExcept(long incarnation) {
        for (Member member : members) {
            if (member.incarnation() != incarnation) {
                return member.incarnation();
            }
        }
        return 0;
    }

    /** Updates from the replica's status; returns true if the view has changed. */
    boolean update(ReplicaStatus status, long nowMs) {
        // After a restart, a member alone in its view has the newest entries on disk but cannot apply them yet. It
        // must not act on the older state of its snapshot.
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
     * Whether this view descends from the given one through intermediate views whose members are all, with their disks
     * intact, members of this view. Then whoever held the lease in an intermediate view, or was the last to win it in
     * the given view, was granted it by a member of this view, which still knows of that grant.
     */
    boolean descendsFrom(long ancestorViewNumber) {
        int ancestorIndex = -1;
        for (int i = 0; i < lineage.size(); i++) {
            if (lineage.get(i).ballot().number() == ancestorViewNumber) {
                ancestorIndex = i;
            }
        }
        if (ancestorIndex < 0) {
            return false;
        }
        Set<Long> incarnations = new HashSet<>();
        members.forEach(member -> incarnations.add(member.incarnation()));
        for (ViewMembership intermediate : lineage.subList(ancestorIndex + 1, lineage.size())) {
            for (Member member : intermediate.members()) {
                if (!incarnations.contains(member.incarnation())) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Position in the view, 0 for the leader; -1 if it is not a member. */
    int rank(long incarnation) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).incarnation() == incarnation) {
                return i;
            }
        }
        return -1;
    }

    /**
     * Whether every unexpired lease of an earlier view is known to a member of this one. This is so if the previous
     * view directly preceded this one and had been active here for at least a lease duration: some member of this view
     * was then asked, in that view, to grant any lease that has not expired.
     */
    boolean knowsUnexpiredLeases(long nowMs, int leaseMs) {
        return followsPreviousViewDirectly && nowMs - previousActiveSinceMs >= leaseMs;
    }
}
