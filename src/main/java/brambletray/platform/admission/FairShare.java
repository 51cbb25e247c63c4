package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How often each kind of request of one service, and each tenant, is served, against all of them. The queue orders by
 * urgency; where urgent kinds alone fill the service, the others would never be served. A kind or a tenant that is
 * served less than half as often as all is <em>behind</em>, and goes first until it no longer is: weighted fair
 * queueing with a guaranteed minimum. Only outcomes count, and older ones fade, so an idle or a cold service has none
 * that is behind. One thread.
 */
final class FairShare {
    /** Memory of outcomes, ms. */
    private static final int MEMORY_MS = 10_000;
    /** ms between two fadings of the counts. */
    private static final int DECAY_INTERVAL_MS = 100;
    /** Request classes that are counted separately; further ones count as the last of them. */
    private static final int MAX_CLASSES = 32;
    /** A tenant with fewer remembered outcomes than this is forgotten. */
    private static final double MIN_OUTCOMES = 0.05;

    /** What is counted together: calls of hosts or requests of clients, of one priority and one target. */
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

        /** Whether it is served less than half as often as all. */
        boolean isDisadvantaged() {
            return share.isDisadvantaged();
        }
    }

    private final List<RequestClass> classes = new ArrayList<>(4);
    private final List<ServedShare> classShares = new ArrayList<>(4);
    private final Map<String, ServedShare> tenantShares = new HashMap<>();
    private long decayedAtMs = Long.MIN_VALUE;

    /** The kind of a slot request. */
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

    /** Whether the request's kind or its tenant is served less than half as often as all. */
    boolean isDisadvantaged(SlotRequest request) {
        return classOf(request).isDisadvantaged()
                || isTenantDisadvantaged(request.owner().tenant());
    }

    /** Whether the tenant is served less than half as often as all. */
    boolean isTenantDisadvantaged(String tenant) {
        ServedShare share = tenantShares.get(tenant);
        return share != null && share.isDisadvantaged();
    }

    /** A request has been granted a slot. */
    void onServed(SlotRequest request, long now) {
        if (counts(request)) {
            classOf(request).share.countServed();
            if (request.owner().isTenant()) {
                tenantShare(request).countServed();
            }
            evaluate(now);
        }
    }

    /** A request has been rejected, or its deadline has passed in the queue. */
    void onNotServed(SlotRequest request, long now) {
        if (counts(request)) {
            classOf(request).share.countNotServed();
            if (request.owner().isTenant()) {
                tenantShare(request).countNotServed();
            }
            evaluate(now);
        }
    }

    /** Further tries and copies are bounded by their budget, whatever their kind. */
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
        double left = Math.exp((double) (decayedAtMs - now) / MEMORY_MS);
        decayedAtMs = now;
        classShares.forEach(share -> share.decay(left));
        tenantShares.values().forEach(share -> share.decay(left));
        tenantShares.values().removeIf(share -> share.outcomes() < MIN_OUTCOMES);
    }
}
