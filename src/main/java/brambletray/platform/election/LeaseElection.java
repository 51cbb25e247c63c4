package brambletray.platform.election;

import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaStatus;

/**
 * The lease on a singleton role, held by at most one member of the active view, under a term that only grows (lease:
 * Gray and Cheriton, 1989). Pure; one thread only.
 *
 * <p>Why terms only grow: a term lies in the range of the view that it was requested in, {@code number << 20} and up,
 * and a voter grants it only while that view is its own and active. Numbers of active views grow over restarts and
 * lost disks (see the replication package), so terms of different views are in order. Within one view any two
 * majorities share a member, which has the highest granted term on its disk before it answers and refuses lower and
 * equal ones; a member that loses its disk is out of that view. So nothing goes through the log for it.
 *
 * <p>Why the old holder has stopped before a new one starts: it acts for {@link LeaseTimings#holderLeaseMs} from the
 * sending of what a majority granted; each member that granted refuses others for {@link LeaseTimings#voterLeaseMs}
 * from receiving it. In one view the majorities share a member. After a view change some member of the new view had
 * granted in the old one, before it stopped: a candidate waits for the answers of all, or until that long after it
 * saw the view active.
 */
public final class LeaseElection {
    private final ElectionState state;
    private final HeldLease heldLease;
    private final LeaseCandidate candidate;
    private final LeaseRequestHandler requestHandler;

    /** Starts without the lease; {@code stored}: what the disk has under {@link #key}, or null. */
    public LeaseElection(
            String role, Member self, byte[] stored, LeaseTimings timings, ElectionActions actions, long nowMs) {
        state = new ElectionState(role, self, stored, timings, actions, nowMs);
        heldLease = new HeldLease(state, this::deliverToSelf);
        candidate = new LeaseCandidate(state, heldLease, this::deliverToSelf);
        requestHandler = new LeaseRequestHandler(state, candidate, this::deliverToSelf);
    }

    /** Key under which the grant of a role is stored. */
    public static String key(String role) {
        return LeaseVoter.key(role);
    }

    /** Whether this process stands for the lease; one that is about to end does not. */
    public void setWantsLease(boolean yes) {
        candidate.setWantsLease(yes);
    }

    /** The present status of the replica; to be called at each change and at each tick. */
    public void updateView(ReplicaStatus status, long timeMs) {
        advanceTime(timeMs);
        if (state.view().update(status, state.nowMs())) {
            state.endCandidacy();
        }
        flush();
    }

    /** To be called every 25 to 50 ms. */
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
     * Hands the lease over, if it is held here: stops acting at once and names the successor, which stands at once.
     */
    public void handOver(long timeMs) {
        advanceTime(timeMs);
        candidate.setWantsLease(false);
        heldLease.handOver();
        flush();
    }

    /** A message from the member at this address; those about another role are ignored. */
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

    /** {@code from}: null for this member itself. */
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

    /** The grant of this ticket is on disk. */
    public void synced(long ticket, long timeMs) {
        advanceTime(timeMs);
        state.voter().synced(ticket);
        flush();
    }

    /** It could not be written; it is tried again. */
    public void syncFailed(long ticket, long timeMs) {
        advanceTime(timeMs);
        state.voter().syncFailed(ticket, state.nowMs());
        flush();
    }

    /** Whether this process may act under its term at this moment: to be asked right before each act. */
    public boolean mayAct(long timeMs) {
        return heldLease.mayAct(timeMs);
    }

    /**
     * Something outside the core has seen this term, or rejected the one that is held here (fencing token). A lower
     * one may act again only once a majority has renewed it: a holder that was succeeded is never renewed, and a
     * false report costs one round.
     */
    public void revalidate(long seenTerm, long timeMs) {
        advanceTime(timeMs);
        heldLease.revalidate(seenTerm);
        flush();
    }

    /** The holder as far as known here, or null. Itself only while it may act: its own grant alone is no lease. */
    public LeaseHolder holder(long timeMs) {
        Member self = state.self();
        if (state.isHolder()) {
            return mayAct(timeMs) ? new LeaseHolder(state.attempt().term(), self) : null;
        }
        LeaseHolder other = state.voter().holder(timeMs);
        return other == null || other.member().incarnation() == self.incarnation() ? null : other;
    }
}
