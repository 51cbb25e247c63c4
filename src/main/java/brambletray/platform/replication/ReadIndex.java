package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Confirms that what is applied here includes everything acknowledged before the question (read index; Raft
 * dissertation, section 6.4). A majority of the view has to answer that the view is still its own, the leader among
 * it, which adds its commit index. Before a later view can acknowledge anything, a {@link Quorum} of this one has
 * stopped for it, and a quorum shares a member with every majority; that member does not answer any more. One silent
 * member holds up no read and no rejection, unlike a commit.
 */
final class ReadIndex {
    private static final int RETRY_INTERVAL_MS = 200;
    private static final int MAX_ROUNDS = 256;

    private static final class Round {
        final long token;
        final long deadlineMs;
        Ballot viewBallot;
        long sequence;
        long sentAtMs;
        final Set<Long> confirmedBy = new HashSet<>();
        long requiredIndex = -1;

        Round(long token, long until) {
            this.token = token;
            this.deadlineMs = until;
        }
    }

    private final ReplicaState state;
    private final RoleState roles;
    private final List<Round> rounds = new ArrayList<>();
    private long lastSequence;

    ReadIndex(ReplicaState state, RoleState roles) {
        this.state = state;
        this.roles = roles;
        lastSequence = state.origin();
    }

    void confirm(long token) {
        if (rounds.size() >= MAX_ROUNDS) {
            state.actions().readIndexCompleted(token, false);
            return;
        }
        Round round = new Round(token, state.nowMs() + state.settings().proposalTimeoutMs());
        rounds.add(round);
        advance();
    }

    void onReadIndexRequest(String from, ReplicationMessage.ReadIndexRequest request) {
        if (!state.isOperationalIn(request.viewBallot())) {
            return;
        }
        boolean leads = roles.isLeader();
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.ReadIndexResponse(
                                request.viewBallot(),
                                state.self().incarnation(),
                                request.sequence(),
                                leads ? state.commitIndex() : -1,
                                leads && state.isSettled()));
    }

    void onReadIndexResponse(ReplicationMessage.ReadIndexResponse response) {
        for (Round round : rounds) {
            if (round.viewBallot == null
                    || !round.viewBallot.equals(response.viewBallot())
                    || round.sequence != response.sequence()) {
                continue;
            }
            if (response.incarnation() == response.viewBallot().proposer()) {
                if (!response.settled()) {
                    continue;
                }
                round.requiredIndex = response.commitIndex();
            }
            round.confirmedBy.add(response.incarnation());
        }
        advance();
    }

    void advance() {
        if (rounds.isEmpty()) {
            return;
        }
        boolean may = state.view() != null
                && state.isActive()
                && state.isOperationalIn(state.view().ballot())
                && !roles.isExcluded();
        List<Round> over = new ArrayList<>();
        Iterator<Round> all = rounds.iterator();
        while (all.hasNext()) {
            Round round = all.next();
            if (may) {
                sendRequests(round);
            }
            boolean yes = may && isConfirmed(round);
            if (!yes && state.nowMs() <= round.deadlineMs && !(state.isLeaving() && roles.isExcluded())) {
                continue;
            }
            all.remove();
            round.requiredIndex = yes ? 1 : -1;
            over.add(round);
        }
        for (Round round : over) {
            state.actions().readIndexCompleted(round.token, round.requiredIndex > 0);
        }
    }

    private void sendRequests(Round round) {
        if (!state.view().ballot().equals(round.viewBallot)) {
            round.viewBallot = state.view().ballot();
            round.sequence = ++lastSequence;
            round.confirmedBy.clear();
            round.requiredIndex = -1;
            round.sentAtMs = state.nowMs() - RETRY_INTERVAL_MS;
        }
        if (state.nowMs() - round.sentAtMs < RETRY_INTERVAL_MS) {
            return;
        }
        round.sentAtMs = state.nowMs();
        for (Member member : state.view().members()) {
            if (member.incarnation() != state.self().incarnation()
                    && !round.confirmedBy.contains(member.incarnation())) {
                state.actions()
                        .send(
                                member.address(),
                                new ReplicationMessage.ReadIndexRequest(round.viewBallot, round.sequence));
            }
        }
    }

    private boolean isConfirmed(Round round) {
        if (2 * (round.confirmedBy.size() + 1) <= state.view().members().size()) {
            return false;
        }
        if (roles.isLeader()) {
            return state.isSettled();
        }
        return round.requiredIndex >= 0 && state.appliedIndex() >= round.requiredIndex;
    }
}
