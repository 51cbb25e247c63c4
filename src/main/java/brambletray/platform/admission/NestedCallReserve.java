package brambletray.platform.admission;

/**
 * Room for calls of hosts: they need a place while their parent holds one, so a service full of parents would wait for
 * itself. Where such calls
 * were seen lately, one of every {@code of} places is kept for them, from {@code least} places on. A service whose
 * parents were seen to hold all
 * places while their calls waited is kept at two places at least, and one of them for calls.
 */
final class NestedCallReserve {
    /** Places of which one can be kept: one for a parent, one for its call. */
    private static final int STALL_LEAST = 2;

    private final AdmissionParameters.Room law;
    private long seenAt = Long.MIN_VALUE / 2;
    private long stalledAt = Long.MIN_VALUE / 2;

    NestedCallReserve(AdmissionParameters.Room law) {
        this.law = law;
    }

    /** A call of a host. */
    void inner(long now) {
        seenAt = now;
        if (now - stalledAt <= law.forMs()) {
            stalledAt = now;
        }
    }

    /** Calls wait while their parents hold all places. */
    void stalled(long now) {
        stalledAt = now;
    }

    /** Places without which calls could not be served beside their parents. */
    int leastPlaces(long now) {
        return now - stalledAt <= law.forMs() ? STALL_LEAST : 0;
    }

    /** Places that copies leave free, of so many: a quarter (the design: copies go out while the window has room). */
    int fromCopies(int places) {
        return places / 4;
    }

    /** Places kept of so many. */
    int kept(int places, long now) {
        int least = leastPlaces(now) > 0 ? STALL_LEAST : law.least();
        return now - seenAt > law.forMs() || places < least ? 0 : Math.max(1, places / law.of());
    }
}
