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
    boolean in;
    /** Number and members of the last view that it was in. */
    long view;

    List<Member> members = List.of();
    long since = Long.MIN_VALUE / 2;
    /** Since when the view before was in force here: ever, for who has seen none. */
    private long beforeSince = Long.MIN_VALUE / 2;

    private boolean follows;
    private List<ViewMembership> lineage = List.of();

    /** Takes in how it stands now; true when the view is another one. */
    boolean look(ReplicaStatus status, long now) {
        // one alone after a restart has the newest changes on disk, but can't deliver them: it must not act on the
        // snapshot's state
        in = status.standing() == ReplicaRole.MEMBER && status.inForce() && status.settled();
        if (!in || view == status.number()) {
            return false;
        }
        follows = status.before() == view;
        beforeSince = since;
        since = now;
        view = status.number();
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
        Set<Long> lives = new HashSet<>();
        members.forEach(member -> lives.add(member.life()));
        for (ViewMembership between : lineage.subList(first + 1, lineage.size())) {
            for (Member member : between.members()) {
                if (!lives.contains(member.life())) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Place in the list of the view, the leader's being 0; -1 when not in. */
    int rank(long life) {
        for (int i = 0; i < members.size(); i++) {
            if (members.get(i).life() == life) {
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
    boolean quick(long now, int vacantMs) {
        return follows && now - beforeSince >= vacantMs;
    }
}
