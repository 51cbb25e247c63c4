package brambletray.platform.admission;

/**
 * Grants, queues or rejects the slot requests of one queue. With P the estimated wait, a request that finds no free
 * slot (a) is queued if P + work is within {@code safetyFactor} of its target; (b) is rejected at once with a {@code
 * Retry-After} if P is within the time for which a client obeys one (a retry that meets its target is worth more than
 * a late response); (c) is queued if P + work is within its remaining time; (d) is rejected at once otherwise. Nested
 * calls, retries, and request classes and tenants below their fair share are not rejected while they can be queued:
 * their callers do not retry, or would find the same state.
 */
final class SlotAllocator {
    private final QueueContext context;
    private final InstancePool instances;
    private final Scaler scaler;
    private final InstanceSlots slots;
    private final NestedCallReserve nestedCallReserve;
    private final QueueTakeover takeover;
    private final FairShare fairShare = new FairShare();
    private final RequestQueue queue;
    private final RetryBudget retryBudget;
    private final RejectedRequests rejectedRequests = new RejectedRequests();

    SlotAllocator(
            QueueContext context,
            InstancePool instances,
            Scaler scaler,
            InstanceSlots slots,
            NestedCallReserve nestedCallReserve,
            QueueTakeover takeover) {
        this.context = context;
        this.instances = instances;
        this.scaler = scaler;
        this.slots = slots;
        this.nestedCallReserve = nestedCallReserve;
        this.takeover = takeover;
        queue = new RequestQueue(context.parameters.queue(), fairShare);
        retryBudget = new RetryBudget(context.parameters.retryBudget());
    }

    RequestQueue queue() {
        return queue;
    }

    /** The service may have had another home, whose spending of the retry budget is not known here. */
    void onTakenOver(long now) {
        retryBudget.onTakenOver(now);
    }

    /** The service has no instances, so no previous home can have sent retries to one recently. */
    void onFirstHome() {
        retryBudget.onFirstHome();
    }

    /** Number of queued requests and of rejected ones that were asked to retry and are not due yet. */
    int pendingRequests(long now) {
        return queue.size() + rejectedRequests.pendingCount(now);
    }

    /** Answers a slot request that is not redirected to another zone. */
    void onRequest(SlotRequest request, long now) {
        boolean furtherAttempt = request.retry() || request.hedge();
        countRequest(request, furtherAttempt, now);
        if (furtherAttempt && !retryBudget.isAllowed(request.hedge(), now)) {
            context.refuse(request, -1);
            return;
        }
        if (takeover.isWaitingForList(now)) {
            if (request.hedge()) {
                context.refuse(request, -1);
            } else if (!enqueue(request, now)) {
                refuse(request, takeover.waitMs(now), now);
            }
            return;
        }
        PooledInstance instance = findInstance(request, now);
        if (instance != null) {
            grant(request, request.remainingMs(), instance, now);
        } else if (request.hedge()) {
            context.refuse(request, -1);
        } else {
            queueOrRefuse(request, furtherAttempt, now);
        }
    }

    private void countRequest(SlotRequest request, boolean furtherAttempt, long now) {
        if (request.nestedCall()) {
            nestedCallReserve.onNestedCall(now);
        }
        if (!furtherAttempt) {
            if (!request.nestedCall()) {
                retryBudget.onRequest(now);
            }
            scaler.keepAlive.onArrival(slots.size() == 0 && queue.size() == 0, now);
        }
        if (!request.hedge()) {
            scaler.demand.onArrival(now);
        }
    }

    /** Adds a request to the queue; false if the queue is full of requests that go before it. */
    private boolean enqueue(SlotRequest request, long now) {
        if (queue.isFull()) {
            RequestQueue.Waiter displaced = queue.displace(request, scaler.demand.workMs(context.spec), now);
            if (displaced == null) {
                return false;
            }
            refuse(displaced.request, -1, now);
        }
        queue.add(request, now);
        return true;
    }

    private void refuse(SlotRequest request, int retryAfterMs, long now) {
        fairShare.onNotServed(request, now);
        context.refuse(request, retryAfterMs);
    }

    /** An edge cancelled a queued request, usually because its deadline is near; counted as not served. */
    void onCancelled(RequestQueue.Waiter waiter, long now) {
        queue.remove(waiter);
        fairShare.onNotServed(waiter.request, now);
    }

    /**
     * The instance for a request that can be granted now, or null. Client requests leave the slots reserved for nested
     * calls free, hedged requests a quarter of all slots. For a request class below its fair share it is enough that
     * client requests hold fewer slots than there are outside the reserve, whether nested calls use the reserve now or
     * not: otherwise nested calls that fill the service would starve the class.
     */
    private PooledInstance findInstance(SlotRequest request, long now) {
        int total = scaler.workingSlots(now);
        int reservedSlots = request.nestedCall() ? 0 : nestedCallReserve.reserved(total, now);
        if (request.hedge()) {
            reservedSlots = Math.max(reservedSlots, nestedCallReserve.reservedFromHedges(total));
        }
        if (reservedSlots > 0 && instances.instances.freeSlots(context.maxConcurrency(), now) <= reservedSlots) {
            boolean fair = !request.hedge()
                    && fairShare.classOf(request).isDisadvantaged()
                    && disadvantagedMayUseReserve(total, reservedSlots);
            if (!fair) {
                return null;
            }
        }
        return instances.instances.choose(request, context.maxConcurrency(), takeover.isWaitingForReports(now), now);
    }

    /** Whether client requests hold fewer slots than there are outside the reserve for nested calls. */
    private boolean disadvantagedMayUseReserve(int total, int reservedSlots) {
        return slots.clientSlots() < total - reservedSlots;
    }

    private void grant(SlotRequest request, long remainingMs, PooledInstance instance, long now) {
        fairShare.onServed(request, now);
        if (request.retry() || request.hedge()) {
            retryBudget.spend(request.hedge(), now);
        }
        slots.take(request, instance, remainingMs, now);
        context.actions.grant(request.edge(), new SlotGrant(request.id(), instance.id, instance.address, false));
    }

    private void queueOrRefuse(SlotRequest request, boolean furtherAttempt, long now) {
        AdmissionParameters.Queue parameters = context.parameters.queue();
        int workMs = scaler.demand.workMs(context.spec);
        int wait = Math.max(
                instances.instances.hasInheritedInstances() ? takeover.waitMs(now) : 0,
                scaler.waitMs(queue.countAhead(request, workMs, now), rejectedRequests, now));
        int target = request.targetMs() > 0 ? request.targetMs() : request.remainingMs();
        // A request at the head of the queue waits for a single slot only, so the estimate does not apply to it.
        boolean goesFirst = request.nestedCall() || fairShare.isDisadvantaged(request);
        boolean fits = (goesFirst ? 0 : wait) + workMs <= request.remainingMs();
        int retryAfterMs = wait + parameters.marginMs();
        boolean obeysRetryAfter = retryAfterMs <= parameters.retryAfterObeyedShare() * request.remainingMs();
        boolean mayQueue =
                goesFirst || furtherAttempt || !obeysRetryAfter || wait + workMs <= parameters.safetyFactor() * target;
        if (fits && mayQueue && enqueue(request, now)) {
            return;
        }
        if (obeysRetryAfter) {
            rejectedRequests.onRejected(wait, now);
        }
        refuse(request, furtherAttempt ? -1 : retryAfterMs, now);
    }

    /**
     * Number of nested calls that have waited for longer than a request takes while no slot was released: their
     * callers may hold all slots.
     */
    int stalledCalls(long now) {
        int workMs = scaler.demand.workMs(context.spec);
        return now - slots.lastReleasedAtMs() < workMs ? 0 : queue.nestedCallsQueuedBefore(now - workMs);
    }

    /** Grants free slots to queued requests, and rejects those whose remaining time no longer suffices. */
    void serveQueue(long now) {
        if (queue.size() == 0) {
            return;
        }
        int workMs = scaler.demand.workMs(context.spec);
        for (RequestQueue.Waiter expired = queue.pollExpired(workMs, now);
                expired != null;
                expired = queue.pollExpired(workMs, now)) {
            refuse(expired.request, -1, now);
        }
        if (takeover.isWaitingForList(now)) {
            return;
        }
        queue.startRound();
        while (queue.size() > 0) {
            int free = instances.instances.freeSlots(context.maxConcurrency(), now);
            int total = scaler.workingSlots(now);
            int reservedSlots = nestedCallReserve.reserved(total, now);
            if (free == 0 && context.parameters.selection().drainingUseMs() <= 0) {
                return;
            }
            RequestQueue.Waiter first = queue.next(
                    reservedSlots > 0 && free <= reservedSlots,
                    disadvantagedMayUseReserve(total, reservedSlots),
                    workMs,
                    now);
            if (first == null) {
                return;
            }
            PooledInstance instance = findInstance(first.request, now);
            if (instance == null) {
                queue.skip(first);
                continue;
            }
            queue.remove(first);
            if (first.request.retry() && !retryBudget.isAllowed(false, now)) {
                context.refuse(first.request, -1);
            } else {
                grant(first.request, first.deadlineMs - now, instance, now);
            }
        }
    }

    /** An edge releases a slot; false if the slot is unknown or was closed before. */
    boolean onRelease(String edge, SlotRelease release, long now) {
        Slot slot = slots.find(edge, release.requestId());
        if (slot == null || slot.closed || !slot.instance.id.equals(release.instanceId())) {
            return false;
        }
        PooledInstance instance = slot.instance;
        switch (release.outcome()) {
            case SERVED, FAILED -> {
                slots.free(slot, now);
                scaler.demand.onAnswered(release.durationMs());
            }
            case CANCELLED, SILENT, BROKEN -> slots.close(slot, scaler.demand.tailMs(context.spec), now);
            case NOT_RUN -> {
                slots.free(slot, now);
                instance.fullUntilMs = now + context.parameters.limit().fullInstancePauseMs();
            }
            case WRONG_HOST, UNREACHED, UNUSED -> slots.free(slot, now);
        }
        switch (release.outcome()) {
            case UNREACHED -> instances.onUnreachable(instance, now);
            case WRONG_HOST -> instances.drop(instance, "wrong instance", now);
            case SILENT, BROKEN -> {
                instances.instances.onReleased(instance, release.outcome(), release.durationMs(), now);
                instances.suspect(instance, now);
            }
            default -> instances.instances.onReleased(instance, release.outcome(), release.durationMs(), now);
        }
        return true;
    }

    /** Rejects all queued requests; called when the service is removed. */
    void refuseAll() {
        for (RequestQueue.Waiter waiter : queue.all()) {
            context.refuse(waiter.request, -1);
        }
        queue.all().clear();
    }

    long nextDueMs(long now) {
        return queue.size() == 0
                ? Long.MAX_VALUE
                : Math.min(now + 100, queue.nextExpiryMs(scaler.demand.workMs(context.spec)));
    }
}
