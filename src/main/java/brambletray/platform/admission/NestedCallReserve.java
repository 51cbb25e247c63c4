package brambletray.platform.admission;

/**
 * Slots reserved for nested calls, that is, requests made by instances while they serve a request. A nested call needs
 * a slot while its parent holds one, so a service whose slots are all held by parents would wait for itself. After
 * recent nested calls, one of every {@code reserveDivisor} slots is reserved for them if there are at least {@code
 * minSlots}. After a stall (parents held all slots while their nested calls waited) the service gets enough instances
 * for both.
 */
final class NestedCallReserve {
    /** Minimum of slots after a stall: one for a parent, one for its nested call. */
    private static final int MIN_SLOTS_AFTER_STALL = 2;

    private final AdmissionParameters.NestedCalls parameters;
    private long nestedCallAtMs = Long.MIN_VALUE / 2;
    private long stalledAtMs = Long.MIN_VALUE / 2;

    NestedCallReserve(AdmissionParameters.NestedCalls parameters) {
        this.parameters = parameters;
    }

    /** A nested call arrived. */
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

    /** Minimum of slots with which nested calls can be served beside their parents; 0 without a recent stall. */
    int minSlots(long now) {
        return now - stalledAtMs <= parameters.rememberMs() ? MIN_SLOTS_AFTER_STALL : 0;
    }

    /** Slots of {@code slots} that hedged requests leave free: a quarter, so that they use spare capacity only. */
    int reservedFromHedges(int slots) {
        return slots / 4;
    }

    /** Number of slots of {@code slots} that are reserved for nested calls. */
    int reserved(int slots, long now) {
        int least = minSlots(now) > 0 ? MIN_SLOTS_AFTER_STALL : parameters.minSlots();
        return now - nestedCallAtMs > parameters.rememberMs() || slots < least
                ? 0
                : Math.max(1, slots / parameters.reserveDivisor());
    }
}
