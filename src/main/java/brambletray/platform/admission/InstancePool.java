package brambletray.platform.admission;

import brambletray.platform.logging.EventLog;
import brambletray.platform.provisioning.InstanceInfo;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayList;
import java.util.List;

/** The instances of a service queue through their lifecycle: booting, up, suspected, draining, stopped. */
final class InstancePool {
    private static final EventLog LOG = EventLog.of("admission");
    private static final int STOP_RETRY_MS = 1000;
    private static final int MAX_STOP_ATTEMPTS = 20;
    /** A probe without a result after this time counts as lost. */
    private static final int PROBE_TIMEOUT_MS = 1000;

    /** Notified of instances that enter or leave the pool. */
    interface Listener {
        void onAdded(String id);

        void onRemoved(String id);
    }

    private static final class StoppingInstance {
        final String id;
        long nextAttemptMs;
        int attempts;

        StoppingInstance(String id) {
            this.id = id;
        }
    }

    final PooledInstances instances;
    private final QueueContext context;
    private final InstanceSlots slots;
    private final PendingStarts starts;
    private final Listener listener;
    private final List<StoppingInstance> stopping = new ArrayList<>();
    private long replaceUntilMs = Long.MIN_VALUE;

    InstancePool(QueueContext context, InstanceSlots slots, PendingStarts starts, Listener listener) {
        this.context = context;
        this.slots = slots;
        this.starts = starts;
        this.listener = listener;
        instances = new PooledInstances(context.parameters.selection());
    }

    /**
     * Adds an instance reported by the coordinator, or updates its state. {@code startedHere}: started under this
     * home, so that all its slots are known here.
     */
    void onInstance(InstanceInfo info, boolean startedHere, long now) {
        PooledInstance instance = instances.find(info.id());
        if (instance == null) {
            if (info.state() != InstanceInfo.LEAVING && !isStopping(info.id())) {
                instance = new PooledInstance(info, startedHere, now);
                instance.nextProbeMs = instance.startedAtMs + starts.bootMs(context.spec) / 2;
                instances.add(instance);
                listener.onAdded(instance.id);
            }
        } else if (instance.isBooting() && info.state() == InstanceInfo.UP) {
            onUp(instance, now);
        } else if (info.state() == InstanceInfo.LEAVING) {
            onDraining(info.id(), now);
        }
    }

    boolean onDraining(String id, long now) {
        PooledInstance instance = instances.find(id);
        if (instance == null || instance.isDraining()) {
            return false;
        }
        LOG.info("instance-draining")
                .with("service", context.service())
                .with("host", id)
                .with("held", instance.heldSlots)
                .log();
        onLoadedInstanceLeaving(instance, now);
        instance.state = InstanceInfo.LEAVING;
        instance.drainingSinceMs = now;
        return true;
    }

    /** An instance that carried load is leaving: requests a replacement, even if no request is queued yet. */
    private void onLoadedInstanceLeaving(PooledInstance instance, long now) {
        if (instance.isUp() && (instance.heldSlots > 0 || now - instance.idleSinceMs < 1000)) {
            replaceUntilMs = now + 2L * starts.bootMs(context.spec);
        }
    }

    boolean replacing(long now) {
        return now < replaceUntilMs;
    }

    boolean onGone(String id, long now) {
        stopping.removeIf(other -> other.id.equals(id));
        PooledInstance instance = instances.find(id);
        if (instance == null) {
            return false;
        }
        LOG.info("instance-gone")
                .with("service", context.service())
                .with("host", id)
                .with("held", instance.heldSlots)
                .log();
        onLoadedInstanceLeaving(instance, now);
        remove(instance);
        return true;
    }

    /** Removes an instance from the pool and stops it. */
    void stop(PooledInstance instance, long now) {
        remove(instance);
        StoppingInstance other = new StoppingInstance(instance.id);
        other.nextAttemptMs = now + STOP_RETRY_MS;
        stopping.add(other);
        context.actions.requestStop(new StopRequest(instance.id, context.service()));
    }

    /** Gives up an instance that does not work: removes it, and stops it so that it causes no further cost. */
    void drop(PooledInstance instance, String reason, long now) {
        LOG.info("instance-dropped")
                .with("service", context.service())
                .with("host", instance.id)
                .with("why", reason)
                .with("held", instance.heldSlots)
                .log();
        onLoadedInstanceLeaving(instance, now);
        stop(instance, now);
    }

    private void remove(PooledInstance instance) {
        instances.remove(instance);
        listener.onRemoved(instance.id);
        slots.drop(instance);
    }

    private boolean isStopping(String id) {
        for (StoppingInstance other : stopping) {
            if (other.id.equals(id)) {
                return true;
            }
        }
        return false;
    }

    /** Whether there is no instance, and none whose stop is still to be confirmed. */
    boolean isEmpty() {
        return instances.all().isEmpty() && stopping.isEmpty();
    }

    private void onUp(PooledInstance instance, long now) {
        instance.state = InstanceInfo.UP;
        instance.idleSinceMs = now;
        instance.unreachableCount = 0;
    }

    /** Handles the result of a probe of an instance. */
    void onProbed(String id, boolean ok, int waiting, long now) {
        PooledInstance instance = instances.find(id);
        if (instance == null) {
            return;
        }
        instance.probedAtMs = Long.MIN_VALUE;
        if (instance.isBooting()) {
            onBootProbed(instance, ok, waiting, now);
        } else if (ok) {
            instance.unreachableCount = 0;
            instance.pauseCount = 0;
            instance.suspected = false;
            instance.pausedUntilMs = Math.min(instance.pausedUntilMs, now);
        } else if (instance.isUp() && (instance.unreachableCount > 0 || instance.suspected)) {
            onUnreachable(instance, now);
        }
    }

    private void onBootProbed(PooledInstance instance, boolean ok, int waiting, long now) {
        if (ok) {
            onUp(instance, now);
            if (instance.startedHere) {
                starts.onBootMeasured(now - instance.startedAtMs, context.spec);
            }
            context.actions.reportUp(new InstanceUp(instance.id, context.service()));
        } else if (now - instance.startedAtMs > 6L * starts.bootMs(context.spec) + 2000) {
            drop(instance, "did not become ready in time", now);
        } else {
            instance.nextProbeMs = now
                    + Math.max(
                            context.parameters.scaling().probeIntervalMs(),
                            starts.bootMs(context.spec) / (waiting > 0 ? 25 : 8));
        }
    }

    /** A response was cut off or never came: probes whether the instance is still reachable. */
    void suspect(PooledInstance instance, long now) {
        if (instance.isUp() && !instance.suspected) {
            instance.suspected = true;
            instance.nextProbeMs = now;
        }
    }

    /**
     * An edge or a probe could not connect to the instance. The second failure in a row drops it, unless most
     * instances are suspected: then the fault may be on this side.
     */
    void onUnreachable(PooledInstance instance, long now) {
        instances.onReleased(instance, AttemptOutcome.UNREACHED, 0, now);
        int up = 0;
        int suspects = 0;
        for (PooledInstance other : instances.all()) {
            up += other.isUp() ? 1 : 0;
            suspects += other.isUp() && other.isSuspect(now) ? 1 : 0;
        }
        if (instance.unreachableCount >= 2 && instance.isUp() && suspects <= Math.max(1, up / 2)) {
            drop(instance, "unreached", now);
        } else {
            instance.nextProbeMs =
                    instance.unreachableCount == 1 ? now : Math.max(now + 1, instance.pausedUntilMs - 30);
        }
    }

    private static boolean awaitsProbe(PooledInstance instance) {
        return instance.isBooting() || instance.isUp() && (instance.unreachableCount > 0 || instance.suspected);
    }

    private static long nextProbeMs(PooledInstance instance) {
        return instance.probedAtMs == Long.MIN_VALUE
                ? instance.nextProbeMs
                : Math.max(instance.nextProbeMs, instance.probedAtMs + PROBE_TIMEOUT_MS);
    }

    void tick(long now) {
        List<PooledInstance> all = instances.all();
        for (int i = 0; i < all.size(); i++) {
            PooledInstance instance = all.get(i);
            if (awaitsProbe(instance) && nextProbeMs(instance) <= now) {
                instance.probedAtMs = now;
                context.actions.probe(context.service(), instance.id, instance.address);
            }
        }
        for (int i = stopping.size() - 1; i >= 0; i--) {
            StoppingInstance other = stopping.get(i);
            if (other.nextAttemptMs > now) {
                continue;
            }
            other.nextAttemptMs = now + STOP_RETRY_MS;
            if (++other.attempts >= MAX_STOP_ATTEMPTS) {
                stopping.remove(i);
            } else {
                context.actions.requestStop(new StopRequest(other.id, context.service()));
            }
        }
    }

    long nextDueMs(long now) {
        long next = instances.nextPauseEndMs(now);
        List<PooledInstance> all = instances.all();
        for (int i = 0; i < all.size(); i++) {
            if (awaitsProbe(all.get(i))) {
                next = Math.min(next, nextProbeMs(all.get(i)));
            }
        }
        for (int i = 0; i < stopping.size(); i++) {
            next = Math.min(next, stopping.get(i).nextAttemptMs);
        }
        return next;
    }
}
