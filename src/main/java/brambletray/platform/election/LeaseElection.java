package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaStatus;

/**
 * The lease on a singleton role, held by at most one member of the active view under a monotonically increasing term
 * (leases: Gray and Cheriton, 1989). Does no I/O and takes the time as an argument; not thread-safe.
 *
 * <p>Why terms only increase: a term lies in the range of the view in which it was requested, {@code number << 20} and
 * up, and a voter grants it only while that view is its own and active. Numbers of active views increase across
 * restarts and lost disks (see the replication package), so terms of different views are ordered. Within one view, any
 * two majorities share a member, which writes the highest granted term to disk before it answers and refuses lower and
 * equal ones. A member that loses its disk is no longer in that view. The election therefore needs no entry in the
 * replicated log.
 *
 * <p>Why the old holder has stopped before a new one starts: a holder acts for {@link LeaseTimings#holderLeaseMs} from
 * sending a request that a majority granted, and each member that granted it refuses others for {@link
 * LeaseTimings#voterLeaseMs} from receiving it. Within one view, the two majorities share a member. After a view
 * change, some member of the new view granted the lease in the old one before it left that view. So a candidate waits
 * for the answers of all members, or until that long after it saw the new view become active.
 */
public final class LeaseElection {
    private final ElectionState state;
    private final HeldLease heldLease;
    private final LeaseCandidate candidate;
    private final LeaseRequestHandler requestHandler;

    /** Starts without the lease. {@code stored}: the value stored under {@link #key}, or null. */
    public LeaseElection(
            String role, Member self, byte[] stored, LeaseTimings timings, ElectionActions actions, long nowMs) {
        state = new ElectionState(role, self, stored, timings, actions, nowMs);
        heldLease = new HeldLease(state, this::deliverToSelf);
        candidate = new LeaseCandidate(state, heldLease, this::deliverToSelf);
        requestHandler = new LeaseRequestHandler(state, candidate, this::deliverToSelf);
    }

    /** Storage key of this member's lease grant for a role. */
    public static String key(String role) {
        return LeaseVoter.key(role);
    }

    /** Sets whether this process competes for the lease; one that is shutting down does not. */
    public void setWantsLease(boolean wanted) {
        candidate.setWantsLease(wanted);
    }

    /** Passes the current status of the replica; to be called on each change and on each tick. */
    public void updateView(ReplicaStatus status, long timeMs) {
        advanceTime(timeMs);
        if (state.view().update(status, state.nowMs())) {
            state.endCandidacy();
        }
        flush();
    }

    /** Advances the election to this time; must be called every 25 to 50 ms. */
    public void tick(long timeMs) {
        advanceTime(timeMs);
        state.onTick();
        if (state.isHolder()) {
            heldLease.tick();
        } else if (state.isCandidate()) {
            candidate.request();
        } else if (state.view().isMember() && candidate.wantsLease() && !heldLease.isReleasing()) {
            candidate.startIfEligible();
        }
        if (heldLease.isReleasing()) {
            heldLease.sendRelease();
        }
        flush();
    }

    private void advanceTime(long timeMs) {
        boolean wasPaused = state.advanceTo(timeMs);
        if (wasPaused) {
            heldLease.requireRevalidation();
            state.endCandidacy();
        }
    }

    private void flush() {
        state.voter().flush(state.nowMs());
    }

    /**
     * Hands over the lease, if it is held here: stops acting at once and names a successor, which may request the lease
     * at once. Also sets that this process no longer competes for the lease.
     */
    public void handOver(long timeMs) {
        advanceTime(timeMs);
        candidate.setWantsLease(false);
        heldLease.handOver();
        flush();
    }

    /** Handles a message from the member at this address; messages about other roles are ignored. */
    public void receive(String from, Object frame, long timeMs) {
        advanceTime(timeMs);
        if (frame instanceof ElectionMessage message && message.role().equals(state.role())) {
            dispatch(from, message);
        }
        flush();
    }

    private void deliverToSelf(ElectionMessage message) {
        dispatch(null, message);
    }

    /** {@code from}: address of the sender; null for this member itself. */
    private void dispatch(String from, ElectionMessage message) {
        if (message instanceof ElectionMessage.LeaseRequest request) {
            requestHandler.onLeaseRequest(from, request);
        } else if (message instanceof ElectionMessage.RenewRequest request) {
            requestHandler.onRenewRequest(from, request);
        } else if (message instanceof ElectionMessage.LeaseGranted granted) {
            candidate.onGranted(granted);
        } else if (message instanceof ElectionMessage.RenewGranted granted) {
            heldLease.onRenewed(granted);
        } else if (message instanceof ElectionMessage.LeaseDenied denied) {
            candidate.onDenied(denied);
        } else if (message instanceof ElectionMessage.LeaseReleased released) {
            candidate.onReleased(released);
        }
    }

    /** The write with this ticket is durable. */
    public void synced(long ticket, long timeMs) {
        advanceTime(timeMs);
        state.voter().synced(ticket);
        flush();
    }

    /** The write with this ticket has failed; it will be retried. */
    public void syncFailed(long ticket, long timeMs) {
        advanceTime(timeMs);
        state.voter().syncFailed(ticket, state.nowMs());
        flush();
    }

    /** Whether this process may act under its term at this time; to be checked immediately before each action. */
    public boolean mayAct(long timeMs) {
        return heldLease.mayAct(timeMs);
    }

    /**
     * A process outside the core has seen this term, or has rejected the held term as a fencing token. A holder with a
     * lower term may act again only once a majority has renewed its lease. A superseded holder is never renewed, and a
     * false report costs one round of messages.
     */
    public void revalidate(long seenTerm, long timeMs) {
        advanceTime(timeMs);
        heldLease.revalidate(seenTerm);
        flush();
    }

    /**
     * The holder as far as this member knows, or null. Names this member only while it may act, as its own grant alone
     * is not a lease.
     */
    public LeaseHolder holder(long timeMs) {
        Member self = state.self();
        if (state.isHolder()) {
            return mayAct(timeMs) ? new LeaseHolder(state.attempt().term(), self) : null;
        }
        LeaseHolder other = state.voter().holder(timeMs);
        return other == null || other.member().incarnation() == self.incarnation() ? null : other;
    }
}
