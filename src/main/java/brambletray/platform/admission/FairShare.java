package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares how often each request class of one service, and each tenant, is served with the average of all. The queue
 * orders by urgency; if urgent classes alone filled the service, the others would never be served. A class or tenant
 * served less than half as often as all is <em>disadvantaged</em>, and goes first until it no longer is: weighted fair
 * queueing with a guaranteed minimum. Only outcomes count, with exponential decay, so an idle or newly started service
 * has no disadvantaged class. Not thread-safe.
 */
final class FairShare {
    /** Time constant of the decay of outcomes, ms. */
    private static final int MEMORY_MS = 10_000;
    /** Interval at which the decay is applied, ms. */
    private static final int DECAY_INTERVAL_MS = 100;
    /** Maximum of request classes that are counted separately; further ones count as the last of them. */
    private static final int MAX_CLASSES = 32;
    /** A tenant whose decayed number of outcomes is below this is removed. */
    private static final double MIN_OUTCOMES = 0.05;

    /** Requests that are counted together: nested calls or client requests with the same priorities and target. */
    static final class RequestClass {
        private final boolean nestedCall;
        private final int priority;
        private final int routePriority;
        private final int targetMs;
        private final ServedShare share = new ServedShare();

        private RequestClass(SlotRequest request) {
            nestedCall = request.nestedCall();
            priority = request.owner().priority();
            routePriority = request.owner().routePriority();
            targetMs = request.targetMs();
        }

        private boolean includes(SlotRequest request) {
            return nestedCall == request.nestedCall()
                    && priority == request.owner().priority()
                    && routePriority == request.owner().routePriority()
                    && targetMs == request.targetMs();
        }

        /** Whether this class is served less than half as often as all. */
        boolean isDisadvantaged() {
            return share.isDisadvantaged();
        }
    }

    private final List<RequestClass> classes = new ArrayList<>(4);
    private final List<ServedShare> classShares = new ArrayList<>(4);
    private final Map<String, ServedShare> tenantShares = new HashMap<>();
    private long decayedAtMs = Long.MIN_VALUE;

    /** The class of a slot request. */
    RequestClass classOf(SlotRequest request) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).includes(request)) {
                return classes.get(i);
            }
        }
        if (classes.size() == MAX_CLASSES) {
            return classes.get(MAX_CLASSES - 1);
        }
        RequestClass requestClass = new RequestClass(request);
        classes.add(requestClass);
        classShares.add(requestClass.share);
        return requestClass;
    }

    /** Whether the request's class or its tenant is served less than half as often as all. */
    boolean isDisadvantaged(SlotRequest request) {
        return classOf(request).isDisadvantaged()
                || isTenantDisadvantaged(request.owner().tenant());
    }

    /** Whether the tenant is served less than half as often as all. */
    boolean isTenantDisadvantaged(String tenant) {
        ServedShare share = tenantShares.get(tenant);
        return share != null && share.isDisadvantaged();
    }

    /** A request was granted a slot. */
    void onServed(SlotRequest request, long now) {
        if (counts(request)) {
            classOf(request).share.countServed();
            if (request.owner().isTenant()) {
                tenantShare(request).countServed();
            }
            evaluate(now);
        }
    }

    /** A request was rejected, or its deadline passed in the queue. */
    void onNotServed(SlotRequest request, long now) {
        if (counts(request)) {
            classOf(request).share.countNotServed();
            if (request.owner().isTenant()) {
                tenantShare(request).countNotServed();
            }
            evaluate(now);
        }
    }

    /** Retries and hedged requests do not count: the retry budget bounds them whatever their class. */
    private static boolean counts(SlotRequest request) {
        return !request.retry() && !request.hedge();
    }

    private ServedShare tenantShare(SlotRequest request) {
        return tenantShares.computeIfAbsent(request.owner().tenant(), name -> new ServedShare());
    }

    private void evaluate(long now) {
        decay(now);
        ServedShare.evaluate(classShares);
        ServedShare.evaluate(tenantShares.values());
    }

    private void decay(long now) {
        if (decayedAtMs == Long.MIN_VALUE) {
            decayedAtMs = now;
        }
        if (now - decayedAtMs < DECAY_INTERVAL_MS) {
            return;
        }
        double factor = Math.exp((double) (decayedAtMs - now) / MEMORY_MS);
        decayedAtMs = now;
        classShares.forEach(share -> share.decay(factor));
        tenantShares.values().forEach(share -> share.decay(factor));
        tenantShares.values().removeIf(share -> share.outcomes() < MIN_OUTCOMES);
    }
}
