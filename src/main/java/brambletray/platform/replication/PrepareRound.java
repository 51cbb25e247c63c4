package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prepare requests of one view change and the responses to them. Contacts the members of the last known view and of
 * its predecessors. If a response reports a later view, the members of that view are contacted as well.
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

    /**
     * Adds the members of this view and of its predecessors to those contacted.
     *
     * @return whether any of them is new
     */
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

    /** The contacted member at this address, or null. */
    Member contactedAt(String address) {
        return contacted.get(address);
    }

    /** Sends the request to all contacted members that have not answered. */
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

    /** Must be called every 25 to 50 ms while responses are awaited. */
    void tick() {
        if (state.nowMs() - sentAtMs >= RETRY_INTERVAL_MS) {
            sendRequests();
        }
    }

    /** Handles a response to this round, and contacts members that it newly reveals. */
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

    /** The responses so far, including this member's own. */
    PrepareResponses responses() {
        List<ReplicationMessage.PrepareResponse> all = new ArrayList<>();
        all.add(state.prepareResponse(ballot));
        all.addAll(responses.values());
        return new PrepareResponses(all);
    }

    /** Whether an answer is outstanding from a member that is neither suspected nor known to have lost its disk. */
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
