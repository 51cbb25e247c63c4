package brambletray.platform.admission;

import brambletray.platform.provisioning.InstanceInfo;
import java.util.List;

/**
 * Scales the instances of a service. Up: to the slots given by Little's law with headroom ({@link SlotDemand}) and a
 * reserve for nested calls, then further until the estimated wait of the last queued request is acceptable; booting
 * instances are counted. Down: stops instances that are empty, not needed, and idle for so long that a new start would
 * cost less than keeping them.
 */
final class Scaler {
    final SlotDemand demand;
    final KeepAlivePolicy keepAlive;
    private final QueueContext context;
    private final InstancePool instances;
    private final PendingStarts starts;
    private final NestedCallReserve nestedCallReserve;
    private final SlotForecast forecast;
    private final long takenOverAtMs;

    Scaler(
            QueueContext context,
            InstancePool instances,
            PendingStarts starts,
            NestedCallReserve nestedCallReserve,
            SlotForecast forecast,
            long now) {
        this.context = context;
        this.instances = instances;
        this.starts = starts;
        this.nestedCallReserve = nestedCallReserve;
        this.forecast = forecast;
        takenOverAtMs = now;
        demand = new SlotDemand(context.parameters.scaling());
        keepAlive = new KeepAlivePolicy(context.parameters.keepAlive());
    }

    /** Number of slots of healthy instances. */
    int workingSlots(long now) {
        return instances.instances.healthyCount(now) * context.maxConcurrency();
    }

    /** A forecast over the slots that are up or booting, less {@code reservedSlots}. */
    SlotForecast forecast(int reservedSlots, long now) {
        forecast.reset(
                Math.max(0, workingSlots(now) - reservedSlots),
                demand.workMs(context.spec),
                context.maxConcurrency(),
                now);
        int bootMs = starts.bootMs(context.spec);
        List<PooledInstance> all = instances.instances.all();
        for (int i = 0; i < all.size(); i++) {
            PooledInstance instance = all.get(i);
            if (instance.isBooting()) {
                forecast.addBoot(Math.max(now + bootMs / 8, instance.startedAtMs + bootMs));
            }
        }
        for (int i = 0; i < starts.count(); i++) {
            forecast.addBoot(Math.max(now + bootMs / 4, starts.requestedAtMs(i) + bootMs));
        }
        return forecast;
    }

    /** Estimated ms until a slot is free for a request with {@code ahead} others before it. */
    int waitMs(int ahead, RejectedRequests rejectedRequests, long now) {
        SlotForecast estimate = forecast(nestedCallReserve.reserved(workingSlots(now), now), now);
        int wait = estimate.waitMs(ahead);
        if (wait < SlotForecast.NEVER) {
            return estimate.waitMs(ahead + rejectedRequests.dueWithin(wait, now));
        }
        return starts.bootMs(context.spec) + starts.blockedMs(now);
    }

    /** Number of instances that a request rate needs, including the reserve for nested calls. */
    private int wantedInstances(double rate, long now) {
        double need = demand.slotsFor(rate, context.spec);
        int n = (int) Math.ceil(need / context.maxConcurrency() - 1e-9);
        int minSlots = nestedCallReserve.minSlots(now);
        while (n > 0
                && (n * context.maxConcurrency() < minSlots
                        || n * context.maxConcurrency() - nestedCallReserve.reserved(n * context.maxConcurrency(), now)
                                < need)) {
            n++;
        }
        return n;
    }

    /**
     * Starts the missing instances. {@code minInstances}: kept whatever the demand; {@code waiting}: number of requests
     * that are queued or were asked to retry.
     */
    void scale(int minInstances, int waiting, long now) {
        int booting = instances.instances.count(InstanceInfo.BOOTING);
        int healthy = instances.instances.healthyCount(now);
        int have = healthy + booting + starts.count();
        int want = have == 0 && minInstances == 0 ? 0 : Math.max(minInstances, wantedInstances(demand.rate(now), now));
        while (have < want && starts.mayRequest(booting, healthy, now)) {
            starts.request(waiting, context.actions, now);
            have++;
        }
        if (waiting > 0 && have > 0) {
            int bootMs = starts.bootMs(context.spec);
            int slack = (int) (context.parameters.queue().safetyFactor() * context.spec.targetMs())
                    - demand.tailMs(context.spec);
            int maxWaitMs = Math.max(slack, bootMs + bootMs / 2);
            SlotForecast estimate = forecast(0, now);
            while (starts.mayRequest(booting, healthy, now) && estimate.waitMs(waiting - 1) > maxWaitMs) {
                starts.request(waiting, context.actions, now);
                estimate.addBoot(now + bootMs);
            }
        }
    }

    /**
     * Starts instances for nested calls whose callers hold all slots, unless enough are booting. Without them no
     * slot would be released until the callers' deadlines.
     */
    void startForStalledCalls(int stalledCalls, int waiting, long now) {
        if (stalledCalls == 0) {
            return;
        }
        nestedCallReserve.onStalled(now);
        int booting = instances.instances.count(InstanceInfo.BOOTING);
        int wanted = (stalledCalls + context.maxConcurrency() - 1) / context.maxConcurrency();
        for (int starting = booting + starts.count(); starting < wanted; starting++) {
            if (starts.mayRequest(booting, instances.instances.healthyCount(now), now)) {
                starts.request(waiting, context.actions, now);
            }
        }
    }

    /**
     * Stops empty instances that are cheaper to start again than to keep. {@code minInstances}: always kept; {@code
     * closing}: none is kept.
     */
    void stopIdle(int minInstances, boolean closing, long now) {
        List<PooledInstance> all = instances.instances.all();
        int n = instances.instances.healthyCount(now);
        int keep = closing ? 0 : Math.max(minInstances, Math.max(1, wantedInstances(demand.slowRate(now), now)));
        for (int i = all.size() - 1; i >= 0; i--) {
            PooledInstance instance = all.get(i);
            if (instance.heldSlots > 0 || instance.isBooting()) {
                continue;
            }
            if (instance.isDraining()) {
                if (now - instance.drainingSinceMs
                        >= context.parameters.selection().drainingUseMs()) {
                    instances.stop(instance, now);
                }
            } else if (closing
                    || n > minInstances
                            && (n > keep || n == 1)
                            && now - takenOverAtMs
                                    >= context.parameters.keepAlive().settlingMs()
                            && now - instance.idleSinceMs >= keepAliveMs(n)) {
                instances.stop(instance, now);
                n--;
            }
        }
    }

    /** Stops instances that have been idle for {@code idleMs}, to free memory for other services. */
    void reclaim(int idleMs, long now) {
        List<PooledInstance> all = instances.instances.all();
        for (int i = all.size() - 1; i >= 0; i--) {
            PooledInstance instance = all.get(i);
            if (instance.isUp() && instance.heldSlots == 0 && now - instance.idleSinceMs >= idleMs) {
                instances.stop(instance, now);
            }
        }
    }

    private int keepAliveMs(int n) {
        int bootMs = starts.bootMs(context.spec);
        return n == 1 ? keepAlive.keepAliveMs(context.spec, bootMs) : keepAlive.breakEvenMs(context.spec, bootMs);
    }

    /** When the next instance may have been idle for long enough to be stopped, ms. */
    long nextDueMs(int minInstances, boolean closing, long now) {
        long next = Long.MAX_VALUE;
        int n = instances.instances.healthyCount(now);
        List<PooledInstance> all = instances.instances.all();
        for (int i = 0; i < all.size(); i++) {
            PooledInstance instance = all.get(i);
            if (instance.heldSlots > 0 || instance.isBooting()) {
                continue;
            }
            if (closing) {
                return now + 1;
            }
            if (instance.isDraining()) {
                next = Math.min(
                        next,
                        Math.max(
                                now + 1,
                                instance.drainingSinceMs
                                        + context.parameters.selection().drainingUseMs()));
            } else if (n > minInstances) {
                long at = Math.max(
                        instance.idleSinceMs + keepAliveMs(n),
                        takenOverAtMs + context.parameters.keepAlive().settlingMs());
                next = Math.min(next, at > now ? at : now + 500);
            }
        }
        return next;
    }
}
