package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prepare requests of one view change and the responses to them. The members of the last view that is known are
 * contacted, and those of its predecessors; a response may name a later view, whose members are contacted as well.
 */
final class PrepareRound {
    private static final int RETRY_INTERVAL_MS = 100;

    private final ReplicaState state;
    private final Ballot ballot;
    private final Map<String, Member> contacted = new LinkedHashMap<>();
    private final Map<Long, ReplicationMessage.PrepareResponse> responses = new LinkedHashMap<>();
    private long sentAtMs;

    PrepareRound(ReplicaState state, Ballot ballot) {
        this.state = state;
        this.ballot = ballot;
    }

    /** Contacts the members of this view and of its predecessors; whether one of them is new. */
    boolean contactMembersOf(View view) {
        int before = contacted.size();
        for (ViewMembership membership : view.viewsToConsult(view == state.view() && state.isActive())) {
            for (Member member : membership.members()) {
                if (!member.address().equals(state.self().address())) {
                    contacted.putIfAbsent(member.address(), member);
                }
            }
        }
        return contacted.size() > before;
    }

    Collection<Member> contacted() {
        return contacted.values();
    }

    /** The member at this address, or null if it was not contacted. */
    Member contactedAt(String address) {
        return contacted.get(address);
    }

    /** Sends the request to all that have not answered. */
    void sendRequests() {
        sentAtMs = state.nowMs();
        PrepareResponses answered = responses();
        for (String address : contacted.keySet()) {
            if (!answered.hasAnswerFrom(address)) {
                state.actions()
                        .send(
                                address,
                                new ReplicationMessage.PrepareRequest(
                                        ballot, state.self(), List.copyOf(state.retiredIncarnations())));
            }
        }
    }

    /** To be called every 25 to 50 ms while responses count. */
    void tick() {
        if (state.nowMs() - sentAtMs >= RETRY_INTERVAL_MS) {
            sendRequests();
        }
    }

    /** Takes a response to this round; members that it reveals are contacted. */
    void onResponse(ReplicationMessage.PrepareResponse response) {
        if (responses.put(response.responder().incarnation(), response) == null) {
            state.actions()
                    .log(new ReplicationEvent.PrepareAnswered(
                            ballot,
                            response.responder().name(),
                            response.view().ballot(),
                            response.active(),
                            response.lastIndex(),
                            response.diskUnhealthy()));
        }
        boolean membersAdded = contactMembersOf(response.view());
        if (state.retire(response.retiredIncarnations()) || membersAdded) {
            sendRequests();
        }
    }

    /** The responses until now, with what this member would answer itself. */
    PrepareResponses responses() {
        List<ReplicationMessage.PrepareResponse> all = new ArrayList<>();
        all.add(state.prepareResponse(ballot));
        all.addAll(responses.values());
        return new PrepareResponses(all);
    }

    /** Whether a member may still answer: not one of those suspected, or whose disk is known to be lost. */
    boolean isWaitingFor(PrepareResponses answered, Collection<Long> suspected) {
        for (Member member : contacted.values()) {
            if (!answered.hasAnswerFrom(member.address())
                    && !suspected.contains(member.incarnation())
                    && !state.retiredIncarnations().contains(member.incarnation())) {
                return true;
            }
        }
        return false;
    }
}
