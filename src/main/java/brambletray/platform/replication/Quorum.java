package brambletray.platform.replication;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Which members of a view must have answered before a later view may be installed: a majority, or all except those
 * whose disk is proven lost, if these are fewer than a majority. Any two such sets share a member that still has its
 * disk:
 * <ul>
 * <li>two majorities share one by their size;
 * <li>a majority and "all but the retired": the retired are fewer than a majority, so some member of the majority is
 * not among them;
 * <li>"all but D" and "all but E": if they shared none, each would lie within the other's retired. A member that
 * answers has learned of the retired incarnations, and has them on disk, before it answers; so every answer of the
 * first set came after the retirement of all who answered in the second, and the other way round, which no order of
 * events allows.
 * </ul> In the list of seeds incarnations are not known, members are counted by address, and nobody is retired.
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
