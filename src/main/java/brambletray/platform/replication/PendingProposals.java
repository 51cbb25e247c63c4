package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Proposals of this process until their outcome is known: each is sent to the leader of each view in turn, as long as
 * it is not in the log. A proposal is applied at most once, as a leader recognises it by origin and token.
 */
final class PendingProposals {
    private static final int RETRY_INTERVAL_MS = 300;
    private static final int MAX_PENDING = 256;
    private static final long MAX_PENDING_BYTES = 16 << 20;

    private static final class Proposal {
        final byte[] bytes;
        final long deadlineMs;
        /**
         * Ballot of the view whose leader was sent it; null when it is certain that no leader can still append it.
         */
        Ballot sentInView;

        long sentAtMs;

        Proposal(byte[] bytes, long until) {
            this.bytes = bytes;
            this.deadlineMs = until;
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

    /** Sends what is pending to the leader of the active view. */
    void sendPending() {
        if (pending.isEmpty()
                || !state.isActive()
                || !state.isOperationalIn(state.view().ballot())
                || roles.isExcluded()) {
            return;
        }
        for (Map.Entry<Long, Proposal> one : pending.entrySet()) {
            Proposal item = one.getValue();
            if (item.sentInView != null && !item.sentInView.equals(state.view().ballot())) {
                // that view has ended: what is not in the log that this one began with was not appended in it for
                // good
                if (state.log().containsProposal(state.origin(), one.getKey())) {
                    continue;
                }
                item.sentInView = null;
            }
            if (item.sentInView != null && state.nowMs() - item.sentAtMs < RETRY_INTERVAL_MS) {
                continue;
            }
            if (roles.isLeader()) {
                if (item.sentInView == null && roles.leader().propose(state.origin(), one.getKey(), item.bytes)) {
                    item.sentInView = state.view().ballot();
                }
            } else if (state.view().leader().incarnation() != state.self().incarnation()) {
                item.sentInView = state.view().ballot();
                item.sentAtMs = state.nowMs();
                state.actions()
                        .send(
                                state.view().leader().address(),
                                new ReplicationMessage.ProposeRequest(
                                        item.sentInView, state.origin(), one.getKey(), item.bytes));
            }
        }
    }

    void onApplied(LogEntry entry) {
        Proposal item = entry.origin() == state.origin() ? pending.remove(entry.token()) : null;
        if (item == null) {
            return;
        }
        pendingBytes -= item.bytes.length;
        state.actions().proposalCompleted(entry.token(), ProposalOutcome.COMMITTED);
    }

    /** The state was replaced by a snapshot, which may include whatever had been sent to a leader. */
    void onSnapshotInstalled() {
        completeIf(item -> item.sentInView != null);
    }

    void tick() {
        if (pending.isEmpty()) {
            return;
        }
        // this process does not join again: callers are to turn to the others now
        completeIf(item -> state.nowMs() > item.deadlineMs || state.isLeaving() && roles.isExcluded());
        sendPending();
    }

    private void completeIf(java.util.function.Predicate<Proposal> which) {
        List<Long> over = new ArrayList<>();
        for (Map.Entry<Long, Proposal> one : pending.entrySet()) {
            if (which.test(one.getValue())) {
                over.add(one.getKey());
            }
        }
        for (long token : over) {
            Proposal item = pending.remove(token);
            pendingBytes -= item.bytes.length;
            state.actions()
                    .proposalCompleted(
                            token, item.sentInView == null ? ProposalOutcome.REJECTED : ProposalOutcome.UNKNOWN);
        }
    }
}
