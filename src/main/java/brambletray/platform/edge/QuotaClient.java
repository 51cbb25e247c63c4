package brambletray.platform.edge;

import brambletray.platform.configuration.Tenant;
import brambletray.platform.proxy.QuotaGate;
import brambletray.platform.quota.QuotaDebit;
import brambletray.platform.quota.QuotaGrant;
import brambletray.platform.quota.QuotaRefusal;
import brambletray.platform.quota.QuotaRequest;
import brambletray.platform.quota.QuotaResponse;
import brambletray.platform.quota.RunAheadAllowances;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Acquires rights from the coordinator for this edge's requests. While no coordinator answers, requests are sent
 * without a right (run ahead) up to the allowance of its last grants, and refused beyond it. Confined to the event
 * loop.
 */
final class QuotaClient implements QuotaGate {
    /** Time in ms for which a request waits for an answer before it may use the run-ahead allowance. */
    private static final int ANSWER_TIMEOUT_MS = 100;
    /** Time in ms for which a request waits for a coordinator if none is attached. */
    private static final int COORDINATOR_TIMEOUT_MS = 50;
    /** Time in ms for which a request waits for the answer of an attached coordinator. */
    private static final int MAX_WAIT_MS = 500;
    /** Time in ms for which the answer to a cancelled request is still expected, so that its right is returned. */
    private static final int ABANDONED_TIMEOUT_MS = 2_000;
    /** Retry delay in ms reported to clients: the expected time until the next coordinator. */
    private static final int RETRY_AFTER_MS = 1_000;

    /** Delivers messages to the coordinator. */
    interface Transport {
        /** Sends a message to the coordinator; returns false if the edge is not attached to a coordinator. */
        boolean send(Object frame);
    }

    /** A request that waits for its right; the listener is null once it no longer does. */
    private static final class Pending {
        private final String tenant;
        private final long sinceMs;
        private Listener listener;
        private long requestedAtMs;

        private Pending(String tenant, Listener listener, long nowMs) {
            this.tenant = tenant;
            this.listener = listener;
            sinceMs = nowMs;
            requestedAtMs = nowMs;
        }
    }

    private final Transport transport;
    private final LongSupplier clock;
    private final RunAheadAllowances allowances;
    private final HeldRights heldRights;
    private final Map<Listener, Long> idsByListener = new IdentityHashMap<>();
    /** In request order. */
    private Map<Long, Pending> pending = new LinkedHashMap<>();

    private boolean isAttached;
    private long nextId = 1;

    QuotaClient(Transport transport, LongSupplier clock, long windowMs) {
        this.transport = transport;
        this.clock = clock;
        allowances = new RunAheadAllowances(windowMs);
        heldRights = new HeldRights(clock, allowances);
    }

    @Override
    public void acquire(Tenant tenant, Listener listener) {
        long nowMs = clock.getAsLong();
        Pending request = new Pending(tenant.name(), listener, nowMs);
        if (!sendRequest(request, nowMs) && allowances.trySpend(request.tenant, nowMs)) {
            listener.onAcquired(heldRights.runAheadRight(nowMs));
            return;
        }
        pending.put(nextId, request);
        idsByListener.put(listener, nextId);
        nextId++;
    }

    /** Requests a right under the next id. */
    private boolean sendRequest(Pending request, long nowMs) {
        request.requestedAtMs = nowMs;
        return transport.send(new QuotaRequest(nextId, request.tenant));
    }

    @Override
    public void cancel(Listener listener) {
        Long id = idsByListener.remove(listener);
        if (id != null) {
            pending.get(id).listener = null;
        }
    }

    int pendingCount() {
        return idsByListener.size();
    }

    /** Handles a response of the coordinator to which this edge is attached. */
    void onResponse(QuotaResponse response) {
        Pending request = pending.remove(response.id());
        if (request == null) {
            return;
        }
        Listener listener = takeListener(request);
        if (response instanceof QuotaGrant grant) {
            onGrant(request, grant, listener);
        } else if (response instanceof QuotaRefusal refusal && listener != null) {
            listener.onExceeded(refusal.retryAfterMs());
        }
    }

    private void onGrant(Pending request, QuotaGrant grant, Listener listener) {
        allowances.onGrant(request.tenant, grant.runAhead(), request.requestedAtMs);
        HeldRights.HeldRight right = heldRights.add(request.tenant, request.requestedAtMs);
        if (listener == null) {
            return;
        }
        if (right.isValid()) {
            listener.onAcquired(right);
        } else {
            acquire(request, listener);
        }
    }

    /** Requests a right again because the previous one arrived after it had expired. */
    private void acquire(Pending expired, Listener listener) {
        Pending retry = new Pending(expired.tenant, listener, expired.sinceMs);
        sendRequest(retry, clock.getAsLong());
        pending.put(nextId, retry);
        idsByListener.put(listener, nextId);
        nextId++;
    }

    private Listener takeListener(Pending request) {
        Listener listener = request.listener;
        request.listener = null;
        if (listener != null) {
            idsByListener.remove(listener);
        }
        return listener;
    }

    /** Reports to the new coordinator what was sent without rights, then repeats all pending requests. */
    void onAttached(long term) {
        isAttached = true;
        heldRights.onTerm(term);
        report();
        long nowMs = clock.getAsLong();
        Map<Long, Pending> former = pending;
        pending = new LinkedHashMap<>();
        for (Pending request : former.values()) {
            if (request.listener != null) {
                sendRequest(request, nowMs);
                pending.put(nextId, request);
                idsByListener.put(request.listener, nextId);
                nextId++;
            }
        }
    }

    private void report() {
        allowances.takeUnreported().forEach((tenant, requests) -> {
            if (!transport.send(new QuotaDebit(tenant, requests))) {
                allowances.addUnreported(tenant, requests);
            }
        });
    }

    /** Whether {@link #tick} has nothing to do until the next right is requested. */
    boolean isIdle() {
        return pending.isEmpty() && heldRights.isEmpty() && !allowances.hasUnreported();
    }

    /** To be called every 50 ms unless {@link #isIdle}. */
    void tick(boolean attached) {
        isAttached = attached;
        long nowMs = clock.getAsLong();
        if (attached) {
            report();
            heldRights.takeReturns(nowMs).forEach(transport::send);
        }
        allowances.removeExpired(nowMs);
        pending.values()
                .removeIf(request -> request.listener == null && nowMs - request.requestedAtMs > ABANDONED_TIMEOUT_MS);
        for (Pending request : List.copyOf(pending.values())) {
            if (request.listener != null) {
                endWaitIfOverdue(request, nowMs);
            }
        }
    }

    /** Ends an overdue wait with the run-ahead allowance or as unavailable; the answer may still arrive. */
    private void endWaitIfOverdue(Pending request, long nowMs) {
        long waitedMs = nowMs - request.sinceMs;
        if (waitedMs >= ANSWER_TIMEOUT_MS && allowances.trySpend(request.tenant, nowMs)) {
            takeListener(request).onAcquired(heldRights.runAheadRight(nowMs));
        } else if (waitedMs >= (isAttached ? MAX_WAIT_MS : COORDINATOR_TIMEOUT_MS)) {
            takeListener(request).onUnavailable(RETRY_AFTER_MS);
        }
    }
}
