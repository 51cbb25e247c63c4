package brambletray.platform.admission;

import brambletray.platform.logging.EventLog;
import brambletray.platform.provisioning.InstanceDraining;
import brambletray.platform.provisioning.InstanceGone;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.KnownInstances;
import brambletray.platform.provisioning.ReclaimIdleInstances;
import brambletray.platform.provisioning.StartRefusal;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * All service queues in one zone of which an edge is the home. No I/O and no clock: {@code now} is passed in, in ms of
 * a monotonic clock. Not thread-safe. Idle queues cost nothing: {@link #tick} visits only queues that are due, {@link
 * #nextDueMs} returns when the next one is.
 */
public final class ServiceQueues {
    private static final EventLog LOG = EventLog.of("admission");

    private record DueQueue(long dueAtMs, ServiceQueue queue) {}

    private final String zone;
    private final AdmissionParameters parameters;
    private final StartNonces nonces;
    private final AdmissionActions actions;
    private final SlotForecast forecast = new SlotForecast();
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<String, ServiceQueue> queueOfInstance = new HashMap<>();
    private final Map<String, ServiceSpec> specs = new HashMap<>();
    private final PriorityQueue<DueQueue> dueQueues = new PriorityQueue<>((a, b) -> Long.compare(a.dueAtMs, b.dueAtMs));

    /**
     * {@code zone}: the zone of the queues; {@code prefix}: the prefix of start nonces, unique to node and
     * incarnation, at most 48 characters.
     */
    public ServiceQueues(String zone, String prefix, AdmissionParameters parameters, AdmissionActions actions) {
        this.zone = zone;
        this.parameters = parameters;
        this.nonces = new StartNonces(prefix);
        this.actions = actions;
    }

    /** A service was added or changed. If this edge has its queue, the queue uses the new parameters from now on. */
    public void onServiceSpec(ServiceSpec spec, long now) {
        ServiceSpec before = specs.put(spec.service(), spec);
        ServiceQueue queue = queues.get(spec.service());
        if (queue != null && !spec.equals(before)) {
            queue.onServiceChanged(spec, queue.rootZone());
            queue.tick(now);
            schedule(queue, now);
        }
    }

    /** A service was removed: its queue stops the instances as they become empty, and is then deleted. */
    public void withdraw(String service, long now) {
        specs.remove(service);
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            queue.withdraw(now);
            schedule(queue, now);
        }
    }

    /**
     * Makes this edge the home of a service in this zone. {@code rootZone}: the zone of the service's root queue;
     * {@code edges}: edges that may hold slots granted by a previous home, empty if there was none. For an existing
     * queue, only the root zone is updated. Services not announced by {@link #onServiceSpec} are ignored.
     */
    public void takeOver(String service, String rootZone, Collection<String> edges, long now) {
        ServiceSpec spec = specs.get(service);
        if (spec == null) {
            return;
        }
        ServiceQueue queue = queues.get(service);
        if (queue == null) {
            queue = new ServiceQueue(
                    new QueueContext(spec, zone, parameters, actions),
                    rootZone,
                    nonces,
                    forecast,
                    queueOfInstance,
                    now);
            queue.expectReportsFrom(edges, now);
            queues.put(service, queue);
        } else if (queue.rootZone().equals(rootZone)) {
            return;
        } else {
            queue.onServiceChanged(spec, rootZone);
        }
        queue.tick(now);
        schedule(queue, now);
    }

    /** Another edge is the home now: drops the queue silently; edges repeat their queued requests there. */
    public void handOver(String service, long now) {
        ServiceQueue queue = queues.remove(service);
        if (queue != null) {
            queue.scheduledAtMs = Long.MIN_VALUE;
            queueOfInstance.values().removeIf(other -> other == queue);
            if (queue.queuedCount() > 0 || queue.heldSlotCount() > 0) {
                LOG.info("queue-released")
                        .with("service", service)
                        .with("held", queue.heldSlotCount())
                        .with("waiting", queue.queuedCount())
                        .log();
            }
        }
    }

    /** Services of which this edge is the home. */
    public Collection<String> services() {
        return List.copyOf(queues.keySet());
    }

    /** Whether this edge is the home of the service. */
    public boolean isHomeOf(String service) {
        return queues.containsKey(service);
    }

    /**
     * An edge requests a slot; false if this edge is not the home of the service. {@code serveHere}: serve the request
     * here even if another zone's queue suits it better, because the edge cannot reach that zone.
     */
    public boolean onSlotRequest(SlotRequest request, boolean serveHere, long now) {
        ServiceQueue queue = queues.get(request.service());
        if (queue == null) {
            return false;
        }
        queue.onSlotRequest(request, serveHere, now);
        schedule(queue, now);
        return true;
    }

    /** An edge releases a slot. */
    public void onSlotRelease(String edge, SlotRelease release, long now) {
        ServiceQueue queue = queueOfInstance.get(release.instanceId());
        if (queue != null) {
            queue.onSlotRelease(edge, release, now);
            schedule(queue, now);
        } else {
            queues.values().forEach(other -> other.onEarlyRelease(edge, release));
        }
    }

    /** An edge no longer waits for a slot, and will not use a grant that is already under way. */
    public void onCancel(String edge, SlotRequestCancel cancel, long now) {
        ServiceQueue queue = queues.get(cancel.service());
        if (queue != null) {
            queue.onCancel(edge, cancel.requestId(), now);
            schedule(queue, now);
        }
    }

    /** An edge reports the slots that it holds; an empty list counts as a report. */
    public void onHeldSlots(HeldSlots held, long now) {
        ServiceQueue queue = queues.get(held.service());
        if (queue != null) {
            queue.onHeldSlots(held, now);
            schedule(queue, now);
        }
    }

    /** An edge left the membership: its slots are closed for a while, its requests leave the queues. */
    public void onEdgeGone(String edge, long now) {
        for (ServiceQueue queue : queues.values()) {
            queue.onEdgeGone(edge, now);
            schedule(queue, now);
        }
    }

    /** The coordinator's list of a service's instances, in answer to {@link AdmissionActions#claimHome}. */
    public void onInstanceList(InstanceList list, long now) {
        ServiceQueue queue = zone.equals(list.homeZone()) ? queues.get(list.service()) : null;
        if (queue != null) {
            queue.onInstanceList(list, now);
            schedule(queue, now);
        }
    }

    /** The coordinator started an instance that a home requested. */
    public void onInstanceStarted(InstanceStarted started, long now) {
        ServiceQueue queue = zone.equals(started.instance().homeZone())
                ? queues.get(started.instance().service())
                : null;
        if (queue != null) {
            queue.onInstanceStarted(started, now);
            schedule(queue, now);
        }
    }

    /** The coordinator refused a start. */
    public void onStartRefused(StartRefusal answer, long now) {
        for (ServiceQueue queue : queues.values()) {
            if (queue.onStartRefused(answer, now)) {
                schedule(queue, now);
                return;
            }
        }
    }

    /** No worker has free memory: stops instances that have been idle for the given time, so that others can start. */
    public void reclaim(ReclaimIdleInstances reclaim, long now) {
        for (ServiceQueue queue : queues.values()) {
            queue.reclaim(reclaim.idleMs(), now);
            schedule(queue, now);
        }
    }

    /** An instance takes no further requests. */
    public void onInstanceDraining(InstanceDraining draining, long now) {
        ServiceQueue queue = queues.get(draining.service());
        if (queue != null) {
            queue.onInstanceDraining(draining.id(), now);
            schedule(queue, now);
        }
    }

    /** An instance no longer exists. */
    public void onInstanceGone(InstanceGone gone, long now) {
        ServiceQueue queue = queues.get(gone.service());
        if (queue != null) {
            queue.onInstanceGone(gone.id(), now);
            schedule(queue, now);
        }
    }

    /** The result of {@link AdmissionActions#probe}: whether a connection was established. */
    public void onProbed(String instanceId, boolean ok, long now) {
        ServiceQueue queue = queueOfInstance.get(instanceId);
        if (queue != null) {
            queue.onProbed(instanceId, ok, now);
            schedule(queue, now);
        }
    }

    /** All instances known to these queues, reported to a new coordinator. */
    public KnownInstances knownInstances(long now) {
        List<InstanceInfo> all = new ArrayList<>();
        for (ServiceQueue queue : queues.values()) {
            all.addAll(queue.knownInstances(now));
        }
        return new KnownInstances(all);
    }

    /** Runs the timers that are due. */
    public void tick(long now) {
        for (DueQueue due = dueQueues.peek(); due != null && due.dueAtMs <= now; due = dueQueues.peek()) {
            dueQueues.poll();
            if (due.queue.scheduledAtMs == due.dueAtMs) {
                due.queue.scheduledAtMs = Long.MAX_VALUE;
                due.queue.tick(now);
                if (due.queue.isFinished()) {
                    queues.remove(due.queue.service());
                } else {
                    schedule(due.queue, now);
                }
            }
        }
    }

    /** When {@link #tick} is due next, ms; {@link Long#MAX_VALUE}: not before the next event. */
    public long nextDueMs() {
        DueQueue due = dueQueues.peek();
        return due == null ? Long.MAX_VALUE : due.dueAtMs;
    }

    private void schedule(ServiceQueue queue, long now) {
        long at = Math.max(now + 1, queue.nextDueMs(now));
        if (at < queue.scheduledAtMs && at != Long.MAX_VALUE && at > Long.MIN_VALUE) {
            queue.scheduledAtMs = at;
            dueQueues.add(new DueQueue(at, queue));
        }
    }
}
