package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Proposals of this process until their outcome is known: given to the leader of each view in turn, so long as they
 * aren't in the order.
 */
final class PendingProposals {
    private static final int RETRY_INTERVAL_MS = 300;
    private static final int MAX_PENDING = 256;
    private static final long MAX_PENDING_BYTES = 16 << 20;

    private static final class Proposal {
        final byte[] bytes;
        final long deadlineMs;
        /** View whose leader was given it; null when it is certain that no leader can still give it a place. */
        Ballot sentInView;

        long sentAtMs;

        Proposal(byte[] bytes, long until) {
            this.bytes = bytes;
            this.deadlineMs = until;
        }
    }

    private final ReplicaState state;
    private final Replica replica;
    private final Map<Long, Proposal> pending = new LinkedHashMap<>();
    private long pendingBytes;

    PendingProposals(ReplicaState state, Replica replica) {
        this.state = state;
        this.replica = replica;
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

    /** Gives what waits to the leader of the view in force. */
    void sendPending() {
        if (pending.isEmpty()
                || !state.isActive()
                || !state.isOperationalIn(state.view().ballot())
                || replica.isExcluded()) {
            return;
        }
        for (Map.Entry<Long, Proposal> one : pending.entrySet()) {
            Proposal item = one.getValue();
            if (item.sentInView != null && !item.sentInView.equals(state.view().ballot())) {
                // that view's leader has stopped: what isn't in the log that this view began with never got a place
                // that lasts
                if (state.log().containsProposal(state.origin(), one.getKey())) {
                    continue;
                }
                item.sentInView = null;
            }
            if (item.sentInView != null && state.nowMs() - item.sentAtMs < RETRY_INTERVAL_MS) {
                continue;
            }
            if (replica.isLeader()) {
                if (item.sentInView == null && replica.proposeLocally(one.getKey(), item.bytes)) {
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

    /** The state has jumped: whatever had been given to a leader may be in it. */
    void onSnapshotInstalled() {
        completeIf(item -> item.sentInView != null);
    }

    void tick() {
        if (pending.isEmpty()) {
            return;
        }
        // who is about to end doesn't come in again: callers are to go on to the others now
        completeIf(item -> state.nowMs() > item.deadlineMs || state.isLeaving() && replica.isExcluded());
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
