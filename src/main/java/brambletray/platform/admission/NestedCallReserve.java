package brambletray.platform.admission;

/**
 * Slots reserved for calls of instances: they need a slot while their parent holds one, so a service full of parents
 * would wait for itself. Where such calls were seen lately, one of every {@code oneOf} slots is reserved for them,
 * from {@code minSlots} on. A service whose parents were seen to hold all slots while their calls waited is given
 * enough instances for both.
 */
final class NestedCallReserve {
    /** Slots of which one can be reserved: one for a parent, one for its call. */
    private static final int MIN_SLOTS_AFTER_STALL = 2;

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

    /** Nested calls are queued while the requests that made them hold all slots. */
    void onStalled(long now) {
        stalledAtMs = now;
    }

    /** Places without which calls could not be served beside their parents. */
    int minSlots(long now) {
        return now - stalledAtMs <= parameters.rememberMs() ? MIN_SLOTS_AFTER_STALL : 0;
    }

    /** Places that copies leave free, of so many: a quarter (the design: copies go out while the window has room). */
    int reservedFromHedges(int slots) {
        return slots / 4;
    }

    /** Slots reserved of so many. */
    int reserved(int slots, long now) {
        int least = minSlots(now) > 0 ? MIN_SLOTS_AFTER_STALL : parameters.minSlots();
        return now - nestedCallAtMs > parameters.rememberMs() || slots < least
                ? 0
                : Math.max(1, slots / parameters.reserveDivisor());
    }
}
