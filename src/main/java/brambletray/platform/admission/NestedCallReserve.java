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
    private static final int MIN_STALL_MS = 2;

    private final AdmissionParameters.NestedCalls parameters;
    private long nestedCallAtMs = Long.MIN_VALUE / 2;
    private long stalledAtMs = Long.MIN_VALUE / 2;

    NestedCallReserve(AdmissionParameters.NestedCalls parameters) {
        this.parameters = parameters;
    }

    /** A call of a host. */
    void onNestedCall(long now) {
        nestedCallAtMs = now;
        if (now - stalledAtMs <= parameters.rememberMs()) {
            stalledAtMs = now;
        }
    }

    /** Calls wait while their parents hold all places. */
    void onStalled(long now) {
        stalledAtMs = now;
    }

    /** Places without which calls could not be served beside their parents. */
    int minSlots(long now) {
        return now - stalledAtMs <= parameters.rememberMs() ? MIN_STALL_MS : 0;
    }

    /** Places that copies leave free, of so many: a quarter (the design: copies go out while the window has room). */
    int reservedFromHedges(int slots) {
        return slots / 4;
    }

    /** Places kept of so many. */
    int reserved(int slots, long now) {
        int least = minSlots(now) > 0 ? MIN_STALL_MS : parameters.minSlots();
        return now - nestedCallAtMs > parameters.rememberMs() || slots < least
                ? 0
                : Math.max(1, slots / parameters.oneOf());
    }
}
