package brambletray.platform.failuredetection;

import java.util.List;

/**
 * From any core member to an edge, first on each link and again whenever any of it changes: the address of the
 * coordinator (empty: none is known that may act), its term (0 then), whether this member is in an active view and in
 * touch with it, the members of that view (where edges reach them; none while it is not known to be active) and the
 * view's number, and the newest roster this member has; an edge that has a newer one reports it. Names the
 * coordinator, but has none of its authority: that comes with the coordinator's own heartbeats.
 */
public record EdgeWelcome(
        String coordinatorAddress,
        long term,
        boolean inActiveView,
        long viewNumber,
        List<String> members,
        long rosterTerm,
        long rosterNumber) {
    /** Whether the edge should report this roster to the member that has sent the welcome. */
    public boolean lacks(Roster roster) {
        return Roster.isNewer(roster.term(), roster.number(), rosterTerm, rosterNumber);
    }

    /** The same without a coordinator. */
    public EdgeWelcome withoutCoordinator() {
        return new EdgeWelcome("", 0, inActiveView, viewNumber, members, rosterTerm, rosterNumber);
    }
}
