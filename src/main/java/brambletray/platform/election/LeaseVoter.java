package brambletray.platform.election;

import brambletray.platform.replication.Member;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The voter: grants terms, writes each grant to disk before it is answered, and knows whose lease runs. */
final class LeaseVoter {
    private static final int RETRY_INTERVAL_MS = 250;
    private static final byte CURRENT_FORMAT_VERSION = 2;
    /** The form before, which lacks the view in which the term was held; still read. */
    private static final byte PREVIOUS_FORMAT_VERSION = 1;

    private final String key;
    private final ElectionActions actions;
    private final LeaseTimings timings;
    private long grantedTerm;
    private long grantedIncarnation;
    /** Number of the last view in which the holder of that term has renewed it here; 0 where it has not. */
    private long heldInViewNumber;
    /** What is known of the grant was read from the disk, and no lease has been granted since. */
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
        byte form = in.get();
        if (form != CURRENT_FORMAT_VERSION && form != PREVIOUS_FORMAT_VERSION) {
            throw new ElectionException(
                    "election.form", "stored in form " + stored[0] + ", this program reads form " + CURRENT_FORMAT_VERSION);
        }
        grantedTerm = in.getLong();
        grantedIncarnation = in.getLong();
        heldInViewNumber = form == CURRENT_FORMAT_VERSION ? in.getLong() : 0;
        restoredFromDisk = true;
        // whose lease this member granted before its process ended is not stored: it is assumed to run
        leaseExpiresAtMs = nowMs + timings.voterLeaseMs();
    }

    static String key(String role) {
        return "vow." + role;
    }

    long grantedTerm() {
        return grantedTerm;
    }

    /** The holder whose lease runs, or null. */
    LeaseHolder holder(long nowMs) {
        return nowMs < leaseExpiresAtMs ? holder : null;
    }

    /** Milliseconds until the lease has run out as far as known here; 0 when it has. */
    int remainingMs(long nowMs) {
        return (int) Math.max(0, leaseExpiresAtMs - nowMs);
    }

    long leaseExpiresAtMs() {
        return leaseExpiresAtMs;
    }

    /** Incarnation that the last holder named as its successor, 0 for none. */
    long namedSuccessor() {
        return namedSuccessor;
    }

    /**
     * Number of the last view in which this incarnation held the lease before its process ended, as far as this disk
     * knows; 0 for none.
     */
    long previouslyHeldInView(long incarnation) {
        return restoredFromDisk && grantedIncarnation == incarnation ? heldInViewNumber : 0;
    }

    /**
     * Whether this term would be granted to this incarnation now. A candidate holds no lease any more, so its own
     * former one does not stand against it.
     */
    boolean wouldGrant(long term, long incarnation, long nowMs) {
        boolean free = nowMs >= leaseExpiresAtMs
                || (holder != null && holder.member().incarnation() == incarnation)
                || (restoredFromDisk && grantedIncarnation == incarnation);
        return free && (term > grantedTerm || (term == grantedTerm && grantedIncarnation == incarnation));
    }

    /** Grants; the callback runs once the grant is on disk. */
    void grant(long term, Member to, long nowMs, Runnable run) {
        recordGrant(term, to.incarnation());
        startLease(new LeaseHolder(term, to), nowMs);
        pendingCallbacks.add(run);
    }

    /** Renews a lease unless a higher term was granted. */
    boolean renew(long view, long term, Member from, long nowMs, Runnable run) {
        if (term < grantedTerm || (term == grantedTerm && grantedIncarnation != from.incarnation())) {
            return false;
        }
        recordGrant(term, from.incarnation());
        dirty |= heldInViewNumber != view;
        heldInViewNumber = view;
        startLease(new LeaseHolder(term, from), nowMs);
        pendingCallbacks.add(run);
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

    private void startLease(LeaseHolder candidate, long nowMs) {
        holder = candidate;
        restoredFromDisk = false;
        leaseExpiresAtMs = nowMs + timings.voterLeaseMs();
        namedSuccessor = 0;
    }

    /** The holder has stopped acting before its lease has run out. */
    boolean release(long term, long incarnation, long next, long nowMs) {
        if (holder == null
                || holder.term() != term
                || holder.member().incarnation() != incarnation
                || nowMs >= leaseExpiresAtMs) {
            return false;
        }
        leaseExpiresAtMs = nowMs;
        namedSuccessor = next;
        return true;
    }

    void flush(long nowMs) {
        if (writeInFlight || nowMs < retryAtMs) {
            return;
        }
        if (!dirty) {
            List<Runnable> runs = pendingCallbacks;
            if (runs.isEmpty()) {
                return;
            }
            pendingCallbacks = new ArrayList<>();
            runs.forEach(Runnable::run);
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

    void synced(long which) {
        if (!writeInFlight || which != writeTicket) {
            return;
        }
        writeInFlight = false;
        List<Runnable> runs = inFlightCallbacks;
        inFlightCallbacks = new ArrayList<>();
        runs.forEach(Runnable::run);
    }

    void syncFailed(long which, long nowMs) {
        if (!writeInFlight || which != writeTicket) {
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
