package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Proposals of this process whose outcome is not known yet. Each is sent to the leader of every successive view until
 * it is in the log. It is applied at most once, because leaders recognise it by origin and token.
 */
final class PendingProposals {
    private static final int RETRY_INTERVAL_MS = 300;
    private static final int MAX_PENDING = 256;
    private static final long MAX_PENDING_BYTES = 16 << 20;

    private static final class Proposal {
        final byte[] bytes;
        final long deadlineMs;
        /**
         * Ballot of the view whose leader it was sent to; null if it is certain that no leader can still append it.
         */
        Ballot sentInView;

        long sentAtMs;

        Proposal(byte[] bytes, long deadlineMs) {
            this.bytes = bytes;
            this.deadlineMs = deadlineMs;
        }
    }

    private final ReplicaState state;
    private final RoleState roles;
    private final Map<Long, Proposal> pending = new LinkedHashMap<>();
    private long pendingBytes;

    PendingProposals(ReplicaState state, RoleState roles) {
        this.state = state;
        this.roles = roles;
    }

    void propose(long token, byte[] bytes) {
        if (pending.size() >= MAX_PENDING || pendingBytes + bytes.length > MAX_PENDING_BYTES) {
            state.actions().proposalCompleted(token, ProposalOutcome.REJECTED);
            return;
        }
        pendingBytes += bytes.length;
        pending.put(token, new Proposal(bytes, state.nowMs() + state.settings().proposalTimeoutMs()));
        sendPending();
    }

    /** Sends the pending proposals to the leader of the active view. */
    void sendPending() {
        if (pending.isEmpty()
                || !state.isActive()
                || !state.isOperationalIn(state.view().ballot())
                || roles.isExcluded()) {
            return;
        }
        for (Map.Entry<Long, Proposal> entry : pending.entrySet()) {
            Proposal proposal = entry.getValue();
            if (proposal.sentInView != null
                    && !proposal.sentInView.equals(state.view().ballot())) {
                // that view has ended: if the proposal is not in the log that the current view started with, the leader
                // of that view can no longer append it
                if (state.log().containsProposal(state.origin(), entry.getKey())) {
                    continue;
                }
                proposal.sentInView = null;
            }
            if (proposal.sentInView != null && state.nowMs() - proposal.sentAtMs < RETRY_INTERVAL_MS) {
                continue;
            }
            if (roles.isLeader()) {
                if (proposal.sentInView == null
                        && roles.leader().propose(state.origin(), entry.getKey(), proposal.bytes)) {
                    proposal.sentInView = state.view().ballot();
                }
            } else if (state.view().leader().incarnation() != state.self().incarnation()) {
                proposal.sentInView = state.view().ballot();
                proposal.sentAtMs = state.nowMs();
                state.actions()
                        .send(
                                state.view().leader().address(),
                                new ReplicationMessage.ProposeRequest(
                                        proposal.sentInView, state.origin(), entry.getKey(), proposal.bytes));
            }
        }
    }

    void onApplied(LogEntry entry) {
        Proposal proposal = entry.origin() == state.origin() ? pending.remove(entry.token()) : null;
        if (proposal == null) {
            return;
        }
        pendingBytes -= proposal.bytes.length;
        state.actions().proposalCompleted(entry.token(), ProposalOutcome.COMMITTED);
    }

    /** Completes all proposals that were sent to a leader, as the snapshot may contain any of them. */
    void onSnapshotInstalled() {
        completeIf(proposal -> proposal.sentInView != null);
    }

    void tick() {
        if (pending.isEmpty()) {
            return;
        }
        // a leaving process that is out of the view does not rejoin: callers have to use another member
        completeIf(proposal -> state.nowMs() > proposal.deadlineMs || state.isLeaving() && roles.isExcluded());
        sendPending();
    }

    private void completeIf(java.util.function.Predicate<Proposal> condition) {
        List<Long> completedTokens = new ArrayList<>();
        for (Map.Entry<Long, Proposal> entry : pending.entrySet()) {
            if (condition.test(entry.getValue())) {
                completedTokens.add(entry.getKey());
            }
        }
        for (long token : completedTokens) {
            Proposal proposal = pending.remove(token);
            pendingBytes -= proposal.bytes.length;
            state.actions()
                    .proposalCompleted(
                            token, proposal.sentInView == null ? ProposalOutcome.REJECTED : ProposalOutcome.UNKNOWN);
        }
    }
}
