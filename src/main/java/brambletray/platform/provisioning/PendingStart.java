package brambletray.platform.provisioning;

import java.util.HashSet;
import java.util.Set;

/** One start that a home wants, from its first asking until it is answered. */
final class PendingStart {
    final String nonce;
    final String service;
    final String seat;
    final long since;
    /** Starts of the same service and seat, as urgent, that were wanted before it. */
    final int rank;

    String edge;
    int urgency;
    long askedAt;
    /** Where it has been called; null: nowhere, or there it was refused. */
    String worker;
    /** Of the worker. */
    String zone;

    WorkerCapacity.Hold hold;
    /** A call of it is without its answer. */
    boolean out;
    /** A call of it got no answer: it may have been made, and is called again with the same nonce and worker. */
    boolean unclear;

    int tries;
    long next;
    final Set<String> refused = new HashSet<>(2);

    PendingStart(String edge, StartRequest need, int rank, long now) {
        this.nonce = need.nonce();
        this.service = need.service();
        this.seat = need.seat();
        this.edge = edge;
        this.urgency = need.urgency();
        this.since = now;
        this.rank = rank;
        this.askedAt = now;
    }
}
