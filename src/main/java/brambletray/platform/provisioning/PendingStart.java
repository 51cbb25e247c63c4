package brambletray.platform.provisioning;

import java.util.HashSet;
import java.util.Set;

/** One start that a home wants, from its first asking until it is answered. */
final class PendingStart {
    final String nonce;
    final String service;
    final String homeZone;
    final long requestedAtMs;
    /** Starts of the same service and home zone, with the same urgency, that were requested before it. */
    final int rank;

    String edge;
    int urgency;
    long lastRequestedAtMs;
    /** Where it has been called; null: nowhere, or there it was refused. */
    String worker;
    /** Of the worker. */
    String zone;

    WorkerCapacity.Reservation reservation;
    /** A call of it is without its answer. */
    boolean inFlight;
    /** A call of it got no answer: it may have been made, and is called again with the same nonce and worker. */
    boolean outcomeUnknown;

    int attempts;
    long nextAttemptMs;
    final Set<String> rejectingWorkers = new HashSet<>(2);

    PendingStart(String edge, StartRequest request, int rank, long now) {
        this.nonce = request.nonce();
        this.service = request.service();
        this.homeZone = request.homeZone();
        this.edge = edge;
        this.urgency = request.urgency();
        this.requestedAtMs = now;
        this.rank = rank;
        this.lastRequestedAtMs = now;
    }
}
