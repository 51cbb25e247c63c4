package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The responses to one view change, this member's own first: which view is the latest, whose members have to be
 * consulted, and whether a quorum has answered. A value; each further response makes a new one.
 */
final class PrepareResponses {
    final List<ReplicationMessage.PrepareResponse> responses;
    /** The view with the highest ballot that anybody has on disk. */
    final View latestView;
    /**
     * The views whose members have to be consulted: {@link #latestView}, and its predecessors back to the last that
     * is known to be active.
     */
    final List<ViewMembership> consultedViews;
    /** Incarnations that all members that answered knew to be retired when they answered. */
    final Set<Long> retiredIncarnations;

    PrepareResponses(List<ReplicationMessage.PrepareResponse> all) {
        this.responses = all;
        View latest = all.get(0).view();
        retiredIncarnations = new HashSet<>(all.get(0).retiredIncarnations());
        for (ReplicationMessage.PrepareResponse response : all) {
            if (response.view().ballot().isAbove(latest.ballot())) {
                latest = response.view();
            }
            retiredIncarnations.retainAll(response.retiredIncarnations());
        }
        latestView = latest;
        consultedViews = new ArrayList<>();
        for (ViewMembership membership : latestView.viewsToConsult(false)) {
            consultedViews.add(membership);
            if (isKnownActive(membership.ballot())) {
                break;
            }
        }
    }

    private boolean isKnownActive(Ballot view) {
        for (ReplicationMessage.PrepareResponse response : responses) {
            if (response.active() && response.view().ballot().equals(view)) {
                return true;
            }
        }
        return view.equals(Ballot.NONE);
    }

    boolean hasQuorum() {
        return hasQuorum(responses);
    }

    /**
     * Whether these responses are a quorum of each of the views. A member without any view is none of the founders,
     * whatever its address.
     */
    boolean hasQuorum(List<ReplicationMessage.PrepareResponse> subset) {
        for (ViewMembership membership : consultedViews) {
            List<Member> answered = new ArrayList<>();
            for (ReplicationMessage.PrepareResponse response : subset) {
                if (!membership.ballot().equals(Ballot.NONE) || !response.view().equals(View.NONE)) {
                    answered.add(response.responder());
                }
            }
            if (!Quorum.isReached(membership.members(), answered, retiredIncarnations)) {
                return false;
            }
        }
        return true;
    }

    /** Among the members whose last view is the latest, the one with the longest log. */
    ReplicationMessage.PrepareResponse longestLog() {
        ReplicationMessage.PrepareResponse longest = null;
        for (ReplicationMessage.PrepareResponse response : responses) {
            if (response.view().ballot().equals(latestView.ballot())
                    && (longest == null || response.lastIndex() > longest.lastIndex())) {
                longest = response;
            }
        }
        return longest;
    }

    /** Response of this incarnation, or null. */
    ReplicationMessage.PrepareResponse fromIncarnation(long incarnation) {
        for (ReplicationMessage.PrepareResponse response : responses) {
            if (response.responder().incarnation() == incarnation) {
                return response;
            }
        }
        return null;
    }

    boolean hasAnswerFrom(String address) {
        for (ReplicationMessage.PrepareResponse response : responses) {
            if (response.responder().address().equals(address)) {
                return true;
            }
        }
        return false;
    }

    /**
     * The members of the next view: members of any of the views, without the unhealthy and the excluded ones if the
     * rest is enough. The proposer is always among them; it gets the log like a newcomer if it was in none of the
     * views.
     */
    List<Member> nextMembers(Set<Long> excluded, FaultTolerance tolerance) {
        List<ReplicationMessage.PrepareResponse> everyone = new ArrayList<>();
        everyone.add(responses.get(0));
        for (ReplicationMessage.PrepareResponse response : responses) {
            if (!everyone.contains(response) && wasMember(response)) {
                everyone.add(response);
            }
        }
        List<ReplicationMessage.PrepareResponse> well = new ArrayList<>();
        for (ReplicationMessage.PrepareResponse response : everyone) {
            if (!response.diskUnhealthy()
                    && !excluded.contains(response.responder().incarnation())) {
                well.add(response);
            }
        }
        List<Member> all = members(everyone);
        List<Member> subset = members(well);
        boolean rest = well.contains(this.responses.get(0))
                && hasQuorum(well)
                && (tolerance.toleratesLossWith(subset) || subset.size() == all.size());
        return rest ? subset : all;
    }

    private static List<Member> members(List<ReplicationMessage.PrepareResponse> responses) {
        List<Member> members = new ArrayList<>();
        for (ReplicationMessage.PrepareResponse response : responses) {
            members.add(response.responder());
        }
        return members;
    }

    private boolean wasMember(ReplicationMessage.PrepareResponse response) {
        for (ViewMembership membership : consultedViews) {
            for (Member member : membership.members()) {
                boolean matches = member.incarnation() != 0
                        ? member.incarnation() == response.responder().incarnation()
                        : member.address().equals(response.responder().address())
                                && !response.view().equals(View.NONE);
                if (matches) {
                    return true;
                }
            }
        }
        return false;
    }

    /** The predecessors of the next view, each set of members once. */
    List<ViewMembership> viewsToConsult() {
        List<ViewMembership> subset = new ArrayList<>();
        Set<Set<Member>> sets = new HashSet<>();
        for (ViewMembership membership : consultedViews) {
            if (sets.add(new HashSet<>(membership.members()))) {
                subset.add(membership);
            }
        }
        return subset;
    }
}
