package brambletray.platform.admission;

import java.util.ArrayList;
import java.util.List;

/**
 * The queue of requests that wait for a slot, a priority queue bounded by {@code most}. The key is the request's
 * deadline, plus {@code ageMs} for each step of priority, less {@code innerMs} for nested calls, plus {@code lateMs}
 * once the target will be missed; the smallest is first. Before all of these go request kinds that are below their
 * fair share ({@link FairShare}). When the queue is full, the request that would be last gives way to one that would
 * be before it.
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

        Waiter(
                SlotRequest request,
                FairShare.RequestClass requestClass,
                long now,
                AdmissionParameters.Queue parameters) {
            this.request = request;
            this.requestClass = requestClass;
            queuedAtMs = now;
            deadlineMs = now + request.remainingMs();
            targetAtMs = now + request.targetMs();
            key = deadlineMs
                    + (long) request.priority() * parameters.priorityRankMs()
                    - (request.nestedCall() ? parameters.nestedCallBonusMs() : 0);
        }
    }

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
        Waiter waiter = new Waiter(request, fairShare.classOf(request), now, parameters);
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
        return waiter.key + late - (waiter.requestClass.isDisadvantaged() ? DISADVANTAGED_BONUS_MS : 0);
    }

    /** How many queued requests would go before such a request. */
    int countAhead(SlotRequest request, int workMs, long now) {
        long key = key(new Waiter(request, fairShare.classOf(request), now, parameters), workMs, now);
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
        long key = key(new Waiter(request, fairShare.classOf(request), now, parameters), workMs, now);
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
