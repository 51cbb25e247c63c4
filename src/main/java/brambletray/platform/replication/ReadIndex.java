package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

/**
 * Confirms that the state applied here includes everything acknowledged before the request (read index; Raft
 * dissertation, section 6.4). A majority of the view, including the leader, has to confirm that it is still in this
 * view; the leader adds its commit index. Before a later view can acknowledge anything, a {@link Quorum} of this view
 * has promised a higher ballot; a quorum shares a member with every majority, and that member no longer confirms.
 * Unlike a commit, neither a read nor a rejection is delayed by a single silent member.
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

        Round(long token, long deadlineMs) {
            this.token = token;
            this.deadlineMs = deadlineMs;
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
        boolean isLeader = roles.isLeader();
        state.actions()
                .send(
                        from,
                        new ReplicationMessage.ReadIndexResponse(
                                request.viewBallot(),
                                state.self().incarnation(),
                                request.sequence(),
                                isLeader ? state.commitIndex() : -1,
                                isLeader && state.isSettled()));
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
        boolean canConfirm = state.view() != null
                && state.isActive()
                && state.isOperationalIn(state.view().ballot())
                && !roles.isExcluded();
        List<Round> completed = new ArrayList<>();
        Iterator<Round> iterator = rounds.iterator();
        while (iterator.hasNext()) {
            Round round = iterator.next();
            if (canConfirm) {
                sendRequests(round);
            }
            boolean confirmed = canConfirm && isConfirmed(round);
            if (!confirmed && state.nowMs() <= round.deadlineMs && !(state.isLeaving() && roles.isExcluded())) {
                continue;
            }
            iterator.remove();
            round.requiredIndex = confirmed ? 1 : -1;
            completed.add(round);
        }
        for (Round round : completed) {
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
