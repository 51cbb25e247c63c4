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
 * Gets this edge's requests their rights from the coordinator. Without it requests are sent ahead as far as its last
 * grants allow, and are refused beyond. For the event loop only.
 */
final class QuotaClient implements QuotaGate {
    /** ms for which a request waits for an answer before it is sent ahead, if it may be. */
    private static final int ANSWER_TIMEOUT_MS = 100;
    /** ms for which a request waits for a coordinator where none is connected. */
    private static final int COORDINATOR_TIMEOUT_MS = 50;
    /** ms for which a request waits for the answer of a coordinator that is connected. */
    private static final int MAX_WAIT_MS = 500;
    /** ms for which an answer that nobody waits for is expected still: its right goes back. */
    private static final int ABANDONED_TIMEOUT_MS = 2_000;
    /** Time until the next coordinator that a client is told, ms. */
    private static final int RETRY_AFTER_MS = 1_000;

    /** How messages get to the coordinator. */
    interface Transport {
        /** False where there is none. */
        boolean send(Object frame);
    }

    /** One request that waits for its right; the listener is null once it does not. */
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
    /** In the order in which they were asked for. */
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
        Pending added = new Pending(tenant.name(), listener, nowMs);
        if (!sendRequest(added, nowMs) && allowances.trySpend(added.tenant, nowMs)) {
            listener.onAcquired(heldRights.runAheadRight(nowMs));
            return;
        }
        pending.put(nextId, added);
        idsByListener.put(listener, nextId);
        nextId++;
    }

    /** Asks under the next id. */
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

    /** From the coordinator that this edge is attached to. */
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

    /** Once more, as the right came too late. */
    private void acquire(Pending late, Listener listener) {
        Pending next = new Pending(late.tenant, listener, late.sinceMs);
        sendRequest(next, clock.getAsLong());
        pending.put(nextId, next);
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

    /** A coordinator was found: it learns first what was sent without rights; then everything is asked again. */
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

    /** Whether {@link #tick} has nothing to do until a request is asked for. */
    boolean isIdle() {
        return pending.isEmpty() && heldRights.isEmpty() && !allowances.hasUnreported();
    }

    /** To be called every 50 ms unless it is idle. */
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

    /** Sends it ahead if it may, or gives it up; the answer may still come. */
    private void endWaitIfOverdue(Pending request, long nowMs) {
        long waitedMs = nowMs - request.sinceMs;
        if (waitedMs >= ANSWER_TIMEOUT_MS && allowances.trySpend(request.tenant, nowMs)) {
            takeListener(request).onAcquired(heldRights.runAheadRight(nowMs));
        } else if (waitedMs >= (isAttached ? MAX_WAIT_MS : COORDINATOR_TIMEOUT_MS)) {
            takeListener(request).onUnavailable(RETRY_AFTER_MS);
        }
    }
}
