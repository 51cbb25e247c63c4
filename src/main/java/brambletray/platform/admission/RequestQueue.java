package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * A bounded priority queue ({@code maxSize}) of requests that wait for a slot. The key is the request's deadline, plus
 * {@code priorityRankMs} for each step of priority and a quarter of it for each step of the route's priority, less
 * {@code nestedCallBonusMs} for nested calls, plus one step of priority for requests of a tenant that floods the
 * queue, plus {@code lateRequestPenaltyMs} once the target will be missed; the smallest key is served first. Request
 * classes and tenants below their fair share ({@link FairShare}) go before all others. When the queue is full, a new
 * request displaces the last one if it would go before it.
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

    /** Route priorities are capped at this; all their steps together are less than one step of tenant priority. */
    private static final int MAX_ROUTE_RANK = 3;
    /** A tenant with fewer queued requests than this does not count as flooding. */
    private static final int MIN_FLOOD_REQUESTS = 4;
    /** A tenant floods the queue if it has more than one in this many of the queued requests. */
    private static final int FLOOD_SHARE_DIVISOR = 4;
    /** Larger than any difference of keys that deadlines can cause, ms. */
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

    /** The amount added to the request's deadline in its key, ms. */
    private long penaltyMs(SlotRequest request) {
        int rankMs = parameters.priorityRankMs();
        long penaltyMs = (long) request.owner().priority() * rankMs
                + (long) Math.min(request.owner().routePriority(), MAX_ROUTE_RANK) * (rankMs / (MAX_ROUTE_RANK + 1));
        if (request.nestedCall()) {
            penaltyMs -= parameters.nestedCallBonusMs();
        }
        return isFlooding(request.owner().tenant()) ? penaltyMs + rankMs : penaltyMs;
    }

    /** Whether a tenant has so many queued requests that its further ones lose a step of priority. */
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

    /** Starts a new round of {@link #next}, in which skipped requests are considered again. */
    void startRound() {
        round++;
    }

    /**
     * The first request that was not skipped in this round, or null. {@code onlyNestedCalls}: excludes client requests,
     * except, with {@code includeDisadvantaged}, those of classes below their fair share.
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

    /** Skips a request for the rest of this round: no instance suits it now. */
    void skip(Waiter waiter) {
        waiter.skippedInRound = round;
    }

    private long key(Waiter waiter, int workMs, long now) {
        long late = now + workMs > waiter.targetAtMs ? parameters.lateRequestPenaltyMs() : 0;
        boolean disadvantaged = waiter.requestClass.isDisadvantaged()
                || fairShare.isTenantDisadvantaged(waiter.request.owner().tenant());
        return waiter.key + late - (disadvantaged ? DISADVANTAGED_BONUS_MS : 0);
    }

    /** Number of queued requests that would go before this request. */
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
     * Makes room in a full queue: removes and returns the last request if {@code request} would go before it, else
     * returns null.
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

    /** Number of nested calls queued before {@code moment}. */
    int nestedCallsQueuedBefore(long moment) {
        int n = 0;
        for (int i = 0; i < waiters.size(); i++) {
            Waiter waiter = waiters.get(i);
            n += waiter.request.nestedCall() && waiter.queuedAtMs < moment ? 1 : 0;
        }
        return n;
    }

    /** Removes and returns a request whose remaining time is shorter than the work, or null. */
    Waiter pollExpired(int workMs, long now) {
        for (int i = 0; i < waiters.size(); i++) {
            if (waiters.get(i).deadlineMs - workMs <= now) {
                return waiters.remove(i);
            }
        }
        return null;
    }

    /** Earliest time, in ms, at which a waiting request has less than {@code workMs} left until its deadline. */
    long nextExpiryMs(int workMs) {
        long next = Long.MAX_VALUE;
        for (int i = 0; i < waiters.size(); i++) {
            next = Math.min(next, waiters.get(i).deadlineMs - workMs);
        }
        return next;
    }
}
