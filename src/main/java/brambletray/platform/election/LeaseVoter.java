package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Grants terms, writes each grant to disk before it is answered, and tracks whose lease is valid. */
final class LeaseVoter {
    private static final int RETRY_INTERVAL_MS = 250;
    private static final byte CURRENT_FORMAT_VERSION = 2;
    /** Lacks the view in which the term was held; still readable. */
    private static final byte PREVIOUS_FORMAT_VERSION = 1;

    private final String key;
    private final ElectionActions actions;
    private final LeaseTimings timings;
    private long grantedTerm;
    private long grantedIncarnation;
    /** Number of the last view in which the holder of that term renewed its lease here; 0 for none. */
    private long heldInViewNumber;
    /** The grant was read from disk, and no lease has been granted since. */
    private boolean restoredFromDisk;

    private LeaseHolder holder;
    private long leaseExpiresAtMs;
    private long namedSuccessor;
    private long writeTicket;
    private boolean writeInFlight;
    private long retryAtMs = Long.MIN_VALUE / 2;
    private boolean dirty;
    private List<Runnable> pendingCallbacks = new ArrayList<>();
    private List<Runnable> inFlightCallbacks = new ArrayList<>();

    LeaseVoter(String role, byte[] stored, ElectionActions actions, LeaseTimings timings, long nowMs) {
        this.key = key(role);
        this.actions = actions;
        this.timings = timings;
        leaseExpiresAtMs = nowMs;
        if (stored == null) {
            return;
        }
        ByteBuffer in = ByteBuffer.wrap(stored);
        byte formatVersion = in.get();
        if (formatVersion != CURRENT_FORMAT_VERSION && formatVersion != PREVIOUS_FORMAT_VERSION) {
            throw new ElectionException(
                    "election.form",
                    "stored lease grant has format version " + stored[0] + "; supported are versions "
                            + PREVIOUS_FORMAT_VERSION + " and " + CURRENT_FORMAT_VERSION);
        }
        grantedTerm = in.getLong();
        grantedIncarnation = in.getLong();
        heldInViewNumber = formatVersion == CURRENT_FORMAT_VERSION ? in.getLong() : 0;
        restoredFromDisk = true;
        // When a lease was granted or renewed before the restart is not stored, so it is assumed to be still valid.
        leaseExpiresAtMs = nowMs + timings.voterLeaseMs();
    }

    static String key(String role) {
        return "vow." + role;
    }

    long grantedTerm() {
        return grantedTerm;
    }

    /** The holder of an unexpired lease, or null. */
    LeaseHolder holder(long nowMs) {
        return nowMs < leaseExpiresAtMs ? holder : null;
    }

    /** Milliseconds until the lease expires, as far as this voter knows; 0 if it has expired. */
    int remainingMs(long nowMs) {
        return (int) Math.max(0, leaseExpiresAtMs - nowMs);
    }

    long leaseExpiresAtMs() {
        return leaseExpiresAtMs;
    }

    /** Incarnation that the last holder named as its successor; 0 for none. */
    long namedSuccessor() {
        return namedSuccessor;
    }

    /**
     * Number of the last view in which this incarnation held the lease before the restart, according to this member's
     * disk; 0 for none.
     */
    long previouslyHeldInView(long incarnation) {
        return restoredFromDisk && grantedIncarnation == incarnation ? heldInViewNumber : 0;
    }

    /**
     * Whether this term would be granted to this incarnation now. A candidate no longer holds a lease, so its own
     * former lease does not prevent the grant.
     */
    boolean wouldGrant(long term, long incarnation, long nowMs) {
        boolean free = nowMs >= leaseExpiresAtMs
                || (holder != null && holder.member().incarnation() == incarnation)
                || (restoredFromDisk && grantedIncarnation == incarnation);
        return free && (term > grantedTerm || (term == grantedTerm && grantedIncarnation == incarnation));
    }

    /** Grants the lease; the callback runs once the grant is on disk. */
    void grant(long term, Member grantee, long nowMs, Runnable onDurable) {
        recordGrant(term, grantee.incarnation());
        startLease(new LeaseHolder(term, grantee), nowMs);
        pendingCallbacks.add(onDurable);
    }

    /** Renews a lease unless a higher term, or this term to another member, was granted; returns whether it did. */
    boolean renew(long viewNumber, long term, Member requester, long nowMs, Runnable onDurable) {
        if (term < grantedTerm || (term == grantedTerm && grantedIncarnation != requester.incarnation())) {
            return false;
        }
        recordGrant(term, requester.incarnation());
        dirty |= heldInViewNumber != viewNumber;
        heldInViewNumber = viewNumber;
        startLease(new LeaseHolder(term, requester), nowMs);
        pendingCallbacks.add(onDurable);
        return true;
    }

    private void recordGrant(long term, long incarnation) {
        if (term == grantedTerm && grantedIncarnation == incarnation) {
            return;
        }
        grantedTerm = term;
        grantedIncarnation = incarnation;
        heldInViewNumber = 0;
        dirty = true;
    }

    private void startLease(LeaseHolder newHolder, long nowMs) {
        holder = newHolder;
        restoredFromDisk = false;
        leaseExpiresAtMs = nowMs + timings.voterLeaseMs();
        namedSuccessor = 0;
    }

    /** The holder has stopped acting before its lease expired. Returns whether this voter knew that lease. */
    boolean release(long term, long incarnation, long successor, long nowMs) {
        if (holder == null
                || holder.term() != term
                || holder.member().incarnation() != incarnation
                || nowMs >= leaseExpiresAtMs) {
            return false;
        }
        leaseExpiresAtMs = nowMs;
        namedSuccessor = successor;
        return true;
    }

    void flush(long nowMs) {
        if (writeInFlight || nowMs < retryAtMs) {
            return;
        }
        if (!dirty) {
            List<Runnable> callbacks = pendingCallbacks;
            if (callbacks.isEmpty()) {
                return;
            }
            pendingCallbacks = new ArrayList<>();
            callbacks.forEach(Runnable::run);
            return;
        }
        dirty = false;
        writeInFlight = true;
        inFlightCallbacks = pendingCallbacks;
        pendingCallbacks = new ArrayList<>();
        Map<String, byte[]> changes = new HashMap<>();
        changes.put(
                key,
                ByteBuffer.allocate(25)
                        .put(CURRENT_FORMAT_VERSION)
                        .putLong(grantedTerm)
                        .putLong(grantedIncarnation)
                        .putLong(heldInViewNumber)
                        .array());
        actions.persist(++writeTicket, changes);
    }

    void synced(long completedTicket) {
        if (!writeInFlight || completedTicket != writeTicket) {
            return;
        }
        writeInFlight = false;
        List<Runnable> callbacks = inFlightCallbacks;
        inFlightCallbacks = new ArrayList<>();
        callbacks.forEach(Runnable::run);
    }

    void syncFailed(long failedTicket, long nowMs) {
        if (!writeInFlight || failedTicket != writeTicket) {
            return;
        }
        writeInFlight = false;
        dirty = true;
        inFlightCallbacks.addAll(pendingCallbacks);
        pendingCallbacks = inFlightCallbacks;
        inFlightCallbacks = new ArrayList<>();
        retryAtMs = nowMs + RETRY_INTERVAL_MS;
    }
}
