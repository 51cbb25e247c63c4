package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.StartRefusal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The queue of one service in one zone, run by the edge that is its home: grants slots of the service's instances to
 * edges and scales the number of instances with demand. Events come in with their time; effects go out through {@link
 * AdmissionActions}.
 */
final class ServiceQueue {
    /** Time after a memory shortage during which no instance is kept or started without demand, ms. */
    private static final int NO_WARM_INSTANCE_MS = 10_000;

    /** The due time under which the heap of {@link ServiceQueues} holds this queue, ms. */
    long scheduledAtMs = Long.MAX_VALUE;

    private final QueueContext context;
    private final InstanceSlots slots;
    private final PendingStarts starts;
    private final InstancePool instances;
    private final Scaler scaler;
    private final SlotAllocator slotAllocator;
    private final QueueTakeover takeover;
    private final ZoneSpread zoneSpread;
    private final ZoneServiceQueue zoneQueue;
    private final HeldSlotsRecovery heldSlotsRecovery;
    private String rootZone;
    private boolean withdrawn;
    private long noWarmInstanceUntilMs = Long.MIN_VALUE;

    ServiceQueue(
            QueueContext context,
            String rootZone,
            StartNonces nonces,
            SlotForecast forecast,
            Map<String, ServiceQueue> queueOfInstance,
            long now) {
        this.context = context;
        this.rootZone = rootZone;
        AdmissionParameters parameters = context.parameters;
        slots = new InstanceSlots(parameters.limit());
        starts = new PendingStarts(parameters.scaling(), context.service(), context.zone, nonces);
        instances = new InstancePool(context, slots, starts, new InstancePool.Listener() {
            @Override
            public void onAdded(String info) {
                queueOfInstance.put(info, ServiceQueue.this);
            }

            @Override
            public void onRemoved(String info) {
                queueOfInstance.remove(info, ServiceQueue.this);
            }
        });
        NestedCallReserve nestedCallReserve = new NestedCallReserve(parameters.nestedCalls());
        scaler = new Scaler(context, instances, starts, nestedCallReserve, forecast, now);
        takeover = new QueueTakeover(parameters.takeover(), context.service(), context.zone, now);
        heldSlotsRecovery = new HeldSlotsRecovery(context, instances, slots, takeover);
        slotAllocator = new SlotAllocator(context, instances, scaler, slots, nestedCallReserve, takeover);
        zoneSpread = new ZoneSpread(parameters.zoneSpread());
        zoneQueue = new ZoneServiceQueue(parameters.zoneSpread());
    }

    String service() {
        return context.service();
    }

    String rootZone() {
        return rootZone;
    }

    void onServiceChanged(ServiceSpec changed, String root) {
        context.spec = changed;
        rootZone = root;
        withdrawn = false;
    }

    void expectReportsFrom(Collection<String> edges, long now) {
        takeover.expect(edges);
        if (!edges.isEmpty()) {
            slotAllocator.onTakenOver(now);
        }
    }

    /** The service has been removed: instances are stopped as they become empty, queued requests are rejected. */
    void withdraw(long now) {
        withdrawn = true;
        slotAllocator.refuseAll();
        tick(now);
    }

    /** Whether the service was removed and all its instances and pending starts have ended. */
    boolean isFinished() {
        return withdrawn && instances.isEmpty() && starts.count() == 0;
    }

    private boolean isRootZone() {
        return context.zone.equals(rootZone);
    }

    /**
     * Number of instances kept without demand: one in the root zone if a cold start would miss the target, unless
     * other services lack the memory.
     */
    private int warmInstances(long now) {
        return !withdrawn && isRootZone() && context.spec.slowToStart() && now >= noWarmInstanceUntilMs ? 1 : 0;
    }

    private boolean isClosing(long now) {
        return withdrawn || !isRootZone() && zoneQueue.isClosed(now);
    }

    /** An edge requests a slot. Idempotent. {@code serveHere}: the request must not be redirected to another zone. */
    void onSlotRequest(SlotRequest request, boolean serveHere, long now) {
        Slot known = slots.find(request.edge(), request.id());
        if (known != null) {
            if (slots.reopenIfLost(known)) {
                context.actions.grant(
                        request.edge(), new SlotGrant(request.id(), known.instance.id, known.instance.address, false));
            }
            return;
        }
        if (slotAllocator.queue().find(request.edge(), request.id()) != null) {
            return;
        }
        if (withdrawn) {
            context.refuse(request, -1);
            return;
        }
        if (serveHere) {
            zoneQueue.serveAnyway();
        } else if (redirectIfClosed(request, now)) {
            return;
        }
        slotAllocator.onRequest(request, now);
        scale(now);
    }

    private boolean redirectIfClosed(SlotRequest request, long now) {
        int work = scaler.demand.workMs(context.spec);
        int boot = starts.bootMs(context.spec);
        String to = request.zone();
        if (isRootZone()) {
            if (to.equals(context.zone) || !zoneSpread.shouldRedirect(request, context.spec, work, boot, now)) {
                return false;
            }
        } else {
            double breakEvenRate = ZoneSpread.breakEvenRate(context.parameters.zoneSpread(), context.spec, work);
            if (!zoneQueue.shouldRedirect(
                    instances.instances.hasUpInstance(), scaler.demand.slowRate(now), breakEvenRate, boot, now)) {
                return false;
            }
            to = rootZone;
            scale(now);
        }
        context.actions.redirect(request.edge(), new SlotRedirect(context.service(), request.id(), to));
        return true;
    }

    void onSlotRelease(String edge, SlotRelease release, long now) {
        heldSlotsRecovery.onReleased(edge, release.requestId());
        if (slotAllocator.onRelease(edge, release, now)) {
            afterEvent(now);
        }
    }

    /** A slot of an instance that this queue does not know (yet) was released. */
    void onEarlyRelease(String edge, SlotRelease release) {
        heldSlotsRecovery.onReleased(edge, release.requestId());
    }

    void onCancel(String edge, long requestId, long now) {
        heldSlotsRecovery.onReleased(edge, requestId);
        RequestQueue.Waiter waiter = slotAllocator.queue().find(edge, requestId);
        if (waiter != null) {
            slotAllocator.onCancelled(waiter, now);
        }
        Slot slot = slots.find(edge, requestId);
        if (slot != null && !slot.closed) {
            slots.free(slot, now);
            afterEvent(now);
        }
    }

    void onEdgeGone(String edge, long now) {
        slotAllocator.queue().removeEdge(edge);
        slots.onEdgeGone(edge, now);
        takeover.onReported(edge);
        afterEvent(now);
    }

    void onHeldSlots(HeldSlots held, long now) {
        heldSlotsRecovery.onReported(held, now);
        afterEvent(now);
    }

    void onInstanceList(InstanceList infos, long now) {
        if (infos.instances().isEmpty() && !takeover.isListed()) {
            slotAllocator.onFirstHome();
        }
        for (InstanceInfo info : infos.instances()) {
            instances.onInstance(info, false, now);
        }
        heldSlotsRecovery.onListed(now);
        afterEvent(now);
    }

    void onInstanceStarted(InstanceStarted started, long now) {
        instances.onInstance(started.instance(), starts.onStarted(started.nonce()), now);
        afterEvent(now);
    }

    boolean onStartRefused(StartRefusal answer, long now) {
        if (!starts.onRejected(answer.nonce(), answer.retryAfterMs(), now)) {
            return false;
        }
        afterEvent(now);
        return true;
    }

    /**
     * No worker has free memory: stops instances that have been idle for {@code idleMs}, and keeps none warm for
     * {@value #NO_WARM_INSTANCE_MS} ms.
     */
    void reclaim(int idleMs, long now) {
        noWarmInstanceUntilMs = now + NO_WARM_INSTANCE_MS;
        if (slotAllocator.queue().size() == 0) {
            scaler.reclaim(idleMs, now);
        }
    }

    void onInstanceDraining(String id, long now) {
        if (instances.onDraining(id, now)) {
            afterEvent(now);
        }
    }

    void onInstanceGone(String id, long now) {
        if (instances.onGone(id, now)) {
            afterEvent(now);
        }
    }

    void onProbed(String id, boolean ok, long now) {
        instances.onProbed(id, ok, slotAllocator.queue().size(), now);
        afterEvent(now);
    }

    private void afterEvent(long now) {
        slotAllocator.serveQueue(now);
        scale(now);
    }

    private void scale(long now) {
        if (withdrawn || takeover.isWaitingForList(now)) {
            return;
        }
        boolean wanted = slotAllocator.queue().size() > 0
                || warmInstances(now) > 0
                || instances.replacing(now)
                || !isRootZone() && zoneQueue.isWarming(now);
        scaler.scale(wanted ? 1 : 0, slotAllocator.pendingRequests(now), now);
        scaler.startForStalledCalls(
                slotAllocator.stalledCalls(now), slotAllocator.queue().size(), now);
    }

    void tick(long now) {
        takeover.tick(context.actions, now);
        heldSlotsRecovery.tick(now);
        slots.expire(now);
        starts.tick(slotAllocator.queue().size(), context.actions, now);
        instances.tick(now);
        afterEvent(now);
        if (!takeover.isWaitingForList(now)) {
            scaler.stopIdle(warmInstances(now), isClosing(now), now);
        }
    }

    long nextDueMs(long now) {
        long next = Math.min(takeover.nextDueMs(now), Math.min(slots.nextEndMs(), starts.nextDueMs(now)));
        next = Math.min(
                next, Math.min(instances.nextDueMs(now), scaler.nextDueMs(warmInstances(now), isClosing(now), now)));
        if (now < noWarmInstanceUntilMs) {
            next = Math.min(next, noWarmInstanceUntilMs);
        }
        return Math.min(next, slotAllocator.nextDueMs(now));
    }

    List<InstanceInfo> knownInstances(long now) {
        List<InstanceInfo> known = new ArrayList<>();
        for (PooledInstance instance : instances.instances.all()) {
            known.add(instance.toInfo(context.service(), context.zone, now));
        }
        return known;
    }

    int queuedCount() {
        return slotAllocator.queue().size();
    }

    int heldSlotCount() {
        return slots.size();
    }
}
