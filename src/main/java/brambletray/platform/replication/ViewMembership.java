package brambletray.platform.replication;

import java.util.List;

/**
 * A view without its predecessors.
 *
 * @param ballot identifies the view
 * @param members members that have to be consulted about later views
 */
public record ViewMembership(Ballot ballot, List<Member> members) {
    /** Number of the view, which is the number of its ballot. */
    public long number() {
        return ballot.number();
    }
}
