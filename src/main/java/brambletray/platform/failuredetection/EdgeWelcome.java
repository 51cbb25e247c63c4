package brambletray.platform.failuredetection;

import java.util.List;

/**
 * From any core member to an edge: first on each link, and again whenever its content changes. Contains the address of
 * the coordinator (empty if none is known that may act) and its term (0 then); whether this member is in an active view
 * and in contact with it; the addresses at which edges reach the members of that view (none while the view is not known
 * to be active) and the view's number; and the newest roster this member has, so that an edge with a newer one reports
 * it. The message names the coordinator but carries none of its authority, which comes only with the coordinator's own
 * heartbeats.
 */
public record EdgeWelcome(
        String coordinatorAddress,
        long term,
        boolean inActiveView,
        long viewNumber,
        List<String> members,
        long rosterTerm,
        long rosterNumber) {
    /** Whether this roster is newer than the sender's, so that the edge should report it. */
    public boolean lacks(Roster roster) {
        return Roster.isNewer(roster.term(), roster.number(), rosterTerm, rosterNumber);
    }

    /** A copy that names no coordinator. */
    public EdgeWelcome withoutCoordinator() {
        return new EdgeWelcome("", 0, inActiveView, viewNumber, members, rosterTerm, rosterNumber);
    }
}
