package brambletray.platform.admission;

/** One place at a host, held by one ask of one edge. */
final class Slot {
    final String edge;
    final long ask;
    /** Held by a call of a host, as far as is known. */
    final boolean call;

    final PooledInstance post;
    /** The end of the request's time, ms of the steady clock. */
    final long requestEnd;
    /** When the place is free again whatever happens. */
    long ends;
    /** Given back, but the host may still be at work. */
    boolean closed;
    /** Closed because its edge was taken for gone, which has not given it back. */
    boolean lost;

    Slot(String edge, long ask, boolean call, PooledInstance post, long requestEnd, long ends) {
        this.edge = edge;
        this.ask = ask;
        this.call = call;
        this.post = post;
        this.requestEnd = requestEnd;
        this.ends = ends;
    }
}
