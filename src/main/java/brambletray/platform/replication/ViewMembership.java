package brambletray.platform.replication;

import java.util.List;

/**
 * Members of a view without its history.
 *
 * @param ballot  name of the view
 * @param members those who have to be asked about what came after it
 */
public record ViewMembership(Ballot ballot, List<Member> members) {
    /** Number of the view. */
    public long number() {
        return ballot.number();
    }
}
