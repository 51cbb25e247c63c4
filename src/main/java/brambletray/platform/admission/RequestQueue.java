package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * The queue of requests that wait for a slot, a priority queue bounded by {@code maxSize}. The key is the request's
 * deadline, plus {@code priorityRankMs} for each step of priority and a quarter of it for each step of the route's
 * priority, less {@code nestedCallBonusMs} for nested calls, plus one step of priority for requests of a tenant that
 * has more than its part of the queue, plus {@code lateRequestPenaltyMs} once the target will be missed; the smallest
 * is first. Before all of these go request kinds and tenants that are below their fair share ({@link FairShare}). When
 * the queue is full, the request that would be last gives way to one that would be before it.
 */
final class RequestQueue {
    static final class Waiter {
        final SlotRequest request;
        final long queuedAtMs;
        final long deadlineMs;
        final long targetAtMs;
        final long key;
        final FairShare.RequestClass requestClass;
        int skippedInRound;

        Waiter(SlotRequest request, FairShare.RequestClass requestClass, long penaltyMs, long now) {
            this.request = request;
            this.requestClass = requestClass;
            queuedAtMs = now;
            deadlineMs = now + request.remainingMs();
            targetAtMs = now + request.targetMs();
            key = deadlineMs + penaltyMs;
        }
    }

    /** From this rank on routes are alike; all their steps together are less than one of a tenant's priority. */
    private static final int MAX_ROUTE_RANK = 3;
    /** A tenant with fewer waiting requests than this floods no queue. */
    private static final int MIN_FLOOD_REQUESTS = 4;
    /** A tenant floods the queue that has more than one of so many waiting requests. */
    private static final int FLOOD_SHARE_DIVISOR = 4;
    /** Before any key that time alone can make, ms. */
    private static final long DISADVANTAGED_BONUS_MS = 1L << 40;

    private final AdmissionParameters.Queue parameters;
    private final FairShare fairShare;
    private final List<Waiter> waiters = new ArrayList<>();
    private int round;

    RequestQueue(AdmissionParameters.Queue parameters, FairShare fairShare) {
        this.parameters = parameters;
        this.fairShare = fairShare;
    }

    private Waiter waiter(SlotRequest request, long now) {
        return new Waiter(request, fairShare.classOf(request), penaltyMs(request), now);
    }

    /** For how long later deadlines go before this request's, ms. */
    private long penaltyMs(SlotRequest request) {
        int rankMs = parameters.priorityRankMs();
        long penaltyMs = (long) request.owner().priority() * rankMs
                + (long) Math.min(request.owner().routePriority(), MAX_ROUTE_RANK) * (rankMs / (MAX_ROUTE_RANK + 1));
        if (request.nestedCall()) {
            penaltyMs -= parameters.nestedCallBonusMs();
        }
        return isFlooding(request.owner().tenant()) ? penaltyMs + rankMs : penaltyMs;
    }

    /** Whether a tenant has so much of the queue that its further requests go behind those of the others. */
    private boolean isFlooding(String tenant) {
        if (tenant.isEmpty()) {
            return false;
        }
        int own = 0;
        for (int i = 0; i < waiters.size(); i++) {
            own += waiters.get(i).request.owner().tenant().equals(tenant) ? 1 : 0;
        }
        return own >= MIN_FLOOD_REQUESTS && own * FLOOD_SHARE_DIVISOR > waiters.size();
    }

    int size() {
        return waiters.size();
    }

    boolean isFull() {
        return waiters.size() >= parameters.maxSize();
    }

    List<Waiter> all() {
        return waiters;
    }

    Waiter find(String edge, long requestId) {
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            if (waiter.request.id() == requestId && waiter.request.edge().equals(edge)) {
                return waiter;
            }
        }
        return null;
    }

    Waiter add(SlotRequest request, long now) {
        Waiter waiter = waiter(request, now);
        waiters.add(waiter);
        return waiter;
    }

    void remove(Waiter waiter) {
        waiters.remove(waiter);
    }

    void removeEdge(String edge) {
        waiters.removeIf(waiter -> waiter.request.edge().equals(edge));
    }

    /** A new round of {@link #next}: those passed over are looked at again. */
    void startRound() {
        round++;
    }

    /**
     * The one whose turn it is, of those not passed over in this round; null where there is none. {@code
     * onlyNestedCalls}: requests of clients may not have what is free, but for kinds that are behind where {@code
     * includeDisadvantaged}.
     */
    Waiter next(boolean onlyNestedCalls, boolean includeDisadvantaged, int workMs, long now) {
        Waiter best = null;
        long bestKey = Long.MAX_VALUE;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            boolean barred = onlyNestedCalls
                    && !waiter.request.nestedCall()
                    && !(includeDisadvantaged && waiter.requestClass.isDisadvantaged());
            if (barred || waiter.skippedInRound == round) {
                continue;
            }
            long key = key(waiter, workMs, now);
            if (key < bestKey) {
                bestKey = key;
                best = waiter;
            }
        }
        return best;
    }

    /** No host suits this one now. */
    void skip(Waiter waiter) {
        waiter.skippedInRound = round;
    }

    private long key(Waiter waiter, int workMs, long now) {
        long late = now + workMs > waiter.targetAtMs ? parameters.lateRequestPenaltyMs() : 0;
        boolean disadvantaged = waiter.requestClass.isDisadvantaged()
                || fairShare.isTenantDisadvantaged(waiter.request.owner().tenant());
        return waiter.key + late - (disadvantaged ? DISADVANTAGED_BONUS_MS : 0);
    }

    /** How many queued requests would go before such a request. */
    int countAhead(SlotRequest request, int workMs, long now) {
        long key = key(waiter(request, now), workMs, now);
        int n = 0;
        for (int i = 0; i < waiters.size(); i++) {
            if (key(waiters.get(i), workMs, now) <= key) {
                n++;
            }
        }
        return n;
    }

    /**
     * Makes room in a full queue: removes and returns the last request, if such a request would go before it;
     * else null.
     */
    Waiter displace(SlotRequest request, int workMs, long now) {
        long key = key(waiter(request, now), workMs, now);
        Waiter last = null;
        for (int i = 0; i < waiters.size(); i++) {
            long one = key(waiters.get(i), workMs, now);
            if (one > key) {
                key = one;
                last = waiters.get(i);
            }
        }
        waiters.remove(last);
        return last;
    }

    /** Calls of hosts that have waited since before {@code moment}. */
    int nestedCallsQueuedBefore(long moment) {
        int n = 0;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            n += waiter.request.nestedCall() && waiter.queuedAtMs < moment ? 1 : 0;
        }
        return n;
    }

    /** Removes and returns one whose time no longer suffices; null where there is none. */
    Waiter pollExpired(int workMs, long now) {
        for (int i = 0; i < waiters.size(); i++) {
            if (waiters.get(i).deadlineMs - workMs <= now) {
                return waiters.remove(i);
            }
        }
        return null;
    }

    /** When the next one's time no longer suffices. */
    long nextExpiryMs(int workMs) {
        long next = Long.MAX_VALUE;
        for (int i = 0; i < waiters.size(); i++) {
            next = Math.min(next, waiters.get(i).deadlineMs - workMs);
        }
        return next;
    }
}
