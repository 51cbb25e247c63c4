package brambletray.platform.failuredetection;

import java.util.List;

/**
 * Any core member to an edge, first on each link and again whenever any of it changes: where the holder of the duty
 * helm is (empty: none is known that may act), its term (0 then), whether this member is itself in a view in force and
 * in touch with it, the members of that view (where edges reach them; none while it is not known to be in force) and
 * the view's number, and the newest roster this member has; an edge that has a newer one tells it. Names the helm, but
 * carries none of its authority: that comes with the helm's own pulses.
 */
public record EdgeWelcome(
        String helmAddress,
        long term,
        boolean inTouch,
        long view,
        List<String> members,
        long rosterTerm,
        long rosterNumber) {
    /** Whether the edge should say this roster to whoever welcomed it. */
    public boolean lacks(Roster roster) {
        return Roster.newer(roster.term(), roster.number(), rosterTerm, rosterNumber);
    }

    /** The same by a member that names no helm. */
    public EdgeWelcome withoutHelm() {
        return new EdgeWelcome("", 0, inTouch, view, members, rosterTerm, rosterNumber);
    }
}
