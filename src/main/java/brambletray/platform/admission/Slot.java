package brambletray.platform.admission;

/** One slot of an instance, held by one request of one edge. */
final class Slot {
    final String edge;
    final long requestId;
    /** Held by a call of a host, as far as is known. */
    final boolean nestedCall;

    final PooledInstance instance;
    /** The end of the request's time, ms of the steady clock. */
    final long requestEndMs;
    /** Time at which the slot is free again in any case, ms. */
    long endsAtMs;
    /** Given back, but the host may still be at work. */
    boolean closed;
    /** Closed because its edge was taken for gone, which has not given it back. */
    boolean lost;

    Slot(String edge, long requestId, boolean nestedCall, PooledInstance instance, long requestEnd, long ends) {
        this.edge = edge;
        this.requestId = requestId;
        this.nestedCall = nestedCall;
        this.instance = instance;
        this.requestEndMs = requestEnd;
        this.endsAtMs = ends;
    }
}
