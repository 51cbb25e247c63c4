package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The responses to the prepare requests of one view change, this member's own first: which view is the latest, which
 * members have to be consulted, and whether a quorum has answered. Immutable: a new instance is created for each
 * further response.
 */
final class PrepareResponses {
    final List<ReplicationMessage.PrepareResponse> responses;
    /** The view with the highest ballot among those reported. */
    final View latestView;
    /**
     * The views of which a quorum has to answer: {@link #latestView}, and its predecessors back to the last one that is
     * known to be active.
     */
    final List<ViewMembership> consultedViews;
    /** Incarnations that every responder knew to be retired when it answered. */
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
     * Whether these responses contain a quorum of each consulted view. A member without any view does not count as a
     * founder, even if its address is one of the seeds.
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

    /** The response with the longest log among the members whose last view is the latest view. */
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

    /** The response of this incarnation, or null. */
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
     * Selects the members of the next view: all responders that were members of a consulted view, without the unhealthy
     * and the excluded ones if the others suffice. The proposer is always included; if it was in none of the views, it
     * gets the log like a newcomer.
     */
    List<Member> nextMembers(Set<Long> excluded, FaultTolerance tolerance) {
        List<ReplicationMessage.PrepareResponse> candidates = new ArrayList<>();
        candidates.add(responses.get(0));
        for (ReplicationMessage.PrepareResponse response : responses) {
            if (!candidates.contains(response) && wasMember(response)) {
                candidates.add(response);
            }
        }
        List<ReplicationMessage.PrepareResponse> healthy = new ArrayList<>();
        for (ReplicationMessage.PrepareResponse response : candidates) {
            if (!response.diskUnhealthy()
                    && !excluded.contains(response.responder().incarnation())) {
                healthy.add(response);
            }
        }
        List<Member> allMembers = members(candidates);
        List<Member> healthyMembers = members(healthy);
        boolean healthySuffice = healthy.contains(this.responses.get(0))
                && hasQuorum(healthy)
                && (tolerance.toleratesLossWith(healthyMembers) || healthyMembers.size() == allMembers.size());
        return healthySuffice ? healthyMembers : allMembers;
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

    /** The predecessors of the next view, without views that repeat a set of members. */
    List<ViewMembership> viewsToConsult() {
        List<ViewMembership> distinctViews = new ArrayList<>();
        Set<Set<Member>> memberSets = new HashSet<>();
        for (ViewMembership membership : consultedViews) {
            if (memberSets.add(new HashSet<>(membership.members()))) {
                distinctViews.add(membership);
            }
        }
        return distinctViews;
    }
}
