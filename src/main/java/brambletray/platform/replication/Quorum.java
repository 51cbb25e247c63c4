package brambletray.platform.replication;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Who must have answered for a view before a later one may be installed: a majority of its members, or all of its
 * members except such as are proven dead (their disk is lost), if those are fewer than a majority. Any two such sets
 * share a member that still has its disk:
 * <ul>
 * <li>two majorities share one by their size;
 * <li>a majority and "all but the dead": the dead are fewer than a majority, so some member of the majority is not
 * among them;
 * <li>"all but D" and "all but E": if they shared none, each would lie within the other's dead. Whoever answers has
 * been told of the dead (and keeps it on disk) before it answers, so every answer of the first came after the deaths of
 * all who answered in the second, and the other way round: no order of time does that.
 * </ul>
 * In the founding list lives aren't known, members are counted by address, and nobody is proven dead.
 */
final class Quorum {
    private Quorum() {}

    static boolean isReached(List<Member> members, Collection<Member> answered, Set<Long> dead) {
        int heard = 0;
        int gone = 0;
        for (Member member : members) {
            if (hasAnswered(member, answered)) {
                heard++;
            } else if (member.incarnation() != 0 && dead.contains(member.incarnation())) {
                gone++;
            }
        }
        int majority = members.size() / 2 + 1;
        return heard >= majority || (gone < majority && heard > 0 && heard + gone == members.size());
    }

    private static boolean hasAnswered(Member member, Collection<Member> answered) {
        for (Member one : answered) {
            if (member.incarnation() == 0
                    ? one.address().equals(member.address())
                    : one.incarnation() == member.incarnation()) {
                return true;
            }
        }
        return false;
    }
}
