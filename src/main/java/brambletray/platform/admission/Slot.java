package brambletray.platform.admission;

/** One slot of an instance, held by one request of one edge. */
final class Slot {
    final String edge;
    final long requestId;
    /** Whether it is held by a nested call; false if an edge reported the slot. */
    final boolean nestedCall;

    final PooledInstance instance;
    /** The deadline of the request, ms of the monotonic clock. */
    final long requestEndMs;
    /** When the slot is freed without a release, ms. */
    long endsAtMs;
    /** Not held any more, but not granted again yet, as the instance may still be at work. */
    boolean closed;
    /** Closed because its edge left the membership without releasing it. */
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
