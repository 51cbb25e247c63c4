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
        String coordinatorAddress,
        long term,
        boolean inActiveView,
        long viewNumber,
        List<String> members,
        long rosterTerm,
        long rosterNumber) {
    /** Whether the edge should say this roster to whoever welcomed it. */
    public boolean isMissing(Roster roster) {
        return Roster.isNewer(roster.term(), roster.number(), rosterTerm, rosterNumber);
    }

    /** The same by a member that names no helm. */
    public EdgeWelcome withoutCoordinator() {
        return new EdgeWelcome("", 0, inActiveView, viewNumber, members, rosterTerm, rosterNumber);
    }
}
