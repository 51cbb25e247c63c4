package brambletray.platform.replication;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * The members of a view that must have responded before a later view may be installed: a majority, or all except
 * those whose disk is proven lost (the retired ones), if these are fewer than a majority. Any two such sets share a
 * member that still has its disk:
 * <ul>
 * <li>two majorities intersect because of their size;
 * <li>a majority and "all but the retired": the retired are fewer than a majority, so some member of the majority is
 * not retired;
 * <li>"all but D" and "all but E": if they were disjoint, each would be a subset of the other's retired members. A
 * member has the retired incarnations on disk before it responds; so every response of the first set came after the
 * retirement of all responders of the second, and vice versa, which is a contradiction.
 * </ul> In the founding view, made from the seeds, incarnations are unknown: members are counted by address and none is
 * retired.
 */
final class Quorum {
    private Quorum() {}

    static boolean isReached(List<Member> members, Collection<Member> answered, Set<Long> retiredIncarnations) {
        int answeredCount = 0;
        int retiredCount = 0;
        for (Member member : members) {
            if (hasAnswered(member, answered)) {
                answeredCount++;
            } else if (member.incarnation() != 0 && retiredIncarnations.contains(member.incarnation())) {
                retiredCount++;
            }
        }
        int majority = members.size() / 2 + 1;
        return answeredCount >= majority
                || (retiredCount < majority && answeredCount > 0 && answeredCount + retiredCount == members.size());
    }

    private static boolean hasAnswered(Member member, Collection<Member> answered) {
        for (Member responder : answered) {
            if (member.incarnation() == 0
                    ? responder.address().equals(member.address())
                    : responder.incarnation() == member.incarnation()) {
                return true;
            }
        }
        return false;
    }
}
