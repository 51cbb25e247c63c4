package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * How often each kind of request of one service is served, against all of them. The queue orders by urgency; where
 * urgent kinds alone fill
 * the service, the others would never be served. A kind that is served less than half as often as all is
 * <em>behind</em>, and goes first until it
 * no longer is: weighted fair queueing with a guaranteed minimum. Only outcomes count, and older ones fade, so an idle
 * or a cold service has no
 * kind that is behind. One thread.
 */
final class FairShare {
    /** A kind is behind below this share of the rate at which all are served. */
    private static final double MIN_SHARE = 0.5;
    /** Memory of outcomes, ms. */
    private static final int MEMORY_MS = 10_000;
    /** ms between two fadings of the counts. */
    private static final int DECAY_INTERVAL_MS = 100;
    /** Outcomes of a kind that are needed to judge it. */
    private static final double MIN_REQUESTS = 1.5;
    /** Request classes that are counted separately; further ones count as the last of them. */
    private static final int MAX_KINDS = 32;

    /** What is counted together: calls of hosts or requests of clients, of one priority and one target. */
    static final class RequestClass {
        private final boolean nestedCall;
        private final int priority;
        private final int targetMs;
        private double served;
        private double lost;
        private boolean disadvantaged;

        private RequestClass(SlotRequest request) {
            nestedCall = request.nestedCall();
            priority = request.priority();
            targetMs = request.targetMs();
        }

        private boolean includes(SlotRequest request) {
            return nestedCall == request.nestedCall()
                    && priority == request.priority()
                    && targetMs == request.targetMs();
        }

        /** Whether it is served less than half as often as all. */
        boolean isDisadvantaged() {
            return disadvantaged;
        }
    }

    private final List<RequestClass> classes = new ArrayList<>(4);
    private long decayedAtMs = Long.MIN_VALUE;

    /** The kind of a slot request. */
    RequestClass classOf(SlotRequest request) {
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i).includes(request)) {
                return classes.get(i);
            }
        }
        if (classes.size() == MAX_KINDS) {
            return classes.get(MAX_KINDS - 1);
        }
        RequestClass requestClass = new RequestClass(request);
        classes.add(requestClass);
        return requestClass;
    }

    /** A request has been granted a slot. */
    void onServed(SlotRequest request, long now) {
        if (counts(request)) {
            classOf(request).served++;
            evaluate(now);
        }
    }

    /** A request has been rejected, or its deadline has passed in the queue. */
    void onLost(SlotRequest request, long now) {
        if (counts(request)) {
            classOf(request).lost++;
            evaluate(now);
        }
    }

    /** Further tries and copies are bounded by their budget, whatever their kind. */
    private static boolean counts(SlotRequest request) {
        return !request.retry() && !request.hedge();
    }

    private void evaluate(long now) {
        decay(now);
        double served = 0;
        double asked = 0;
        for (int i = 0; i < classes.size(); i++) {
            served += classes.get(i).served;
            asked += classes.get(i).served + classes.get(i).lost;
        }
        for (int i = 0; i < classes.size(); i++) {
            RequestClass requestClass = classes.get(i);
            double own = requestClass.served + requestClass.lost;
            requestClass.disadvantaged = own >= MIN_REQUESTS && requestClass.served * asked < MIN_SHARE * served * own;
        }
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
        for (int i = 0; i < classes.size(); i++) {
            classes.get(i).served *= left;
            classes.get(i).lost *= left;
        }
    }
}
