package brambletray.platform.replication;

import java.util.List;

/**
 * The members of a view without its predecessors.
 *
 * @param ballot identifies the view
 * @param members those who have to be consulted about what came after it
 */
public record ViewMembership(Ballot ballot, List<Member> members) {
    /** Number of the view. */
    public long number() {
        return ballot.number();
    }
}
