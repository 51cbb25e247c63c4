package brambletray.tray.vow;

import brambletray.tray.view.Member;
import brambletray.tray.view.Standing;
import brambletray.tray.view.Status;
import java.util.List;

/** What a member knows of the view in force, and since when. */
final class Seat {
    /**
     * Whether this member is in it now, in touch with its leader, and has delivered all that earlier views may have
     * acknowledged.
     */
    boolean in;
    /** Number and members of the last view that it was in. */
    long view;

    List<Member> members = List.of();
    long since = Long.MIN_VALUE / 2;
    /** Number of the view that this one came from, if known to have been in force; else -1. */
    long before = -1;
    /** Since when the view before was in force here: ever, for who has seen none. */
    private long beforeSince = Long.MIN_VALUE / 2;

    private boolean follows;

    /** Takes in how it stands now; true when the view is another one. */
    boolean look(Status status, long now) {
        // one alone after a restart has the newest changes on disk, but can't deliver them: it must not act on the
        // snapshot's state
        in = status.standing() == Standing.MEMBER && status.inForce() && status.settled();
        if (!in || view == status.number()) {
            return false;
        }
        before = status.before();
        follows = before == view;
        beforeSince = since;
        since = now;
        view = status.number();
        members = status.members();
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
