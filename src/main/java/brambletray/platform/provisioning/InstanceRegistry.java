package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The registry of known instances, and of those that ended lately. The home of an instance is notified of what
 * becomes of it.
 */
final class InstanceRegistry {
    private static final EventLog LOG = EventLog.of("provisioning");
    /** Ended hosts, and ms, for which an id is remembered: lists that lag may show it still. */
    private static final int MAX_REMEMBERED_ENDS = 8_192;

    private static final long REMEMBER_END_MS = 60_000;

    /** Why a host ended. {@code stopConfirmed}: the platform has confirmed the stop. */
    record End(String reason, boolean stopConfirmed) {}

    private final ProvisioningActions actions;
    private final HomeLookup homes;
    private final WorkerPool workerPool;
    private final Map<String, InstanceLifecycle> instances = new LinkedHashMap<>();
    private final Map<String, Map<String, InstanceLifecycle>> byService = new HashMap<>();
    private final Map<String, InstanceLifecycle> byAddress = new HashMap<>();
    private final RecentNames<End> ended = new RecentNames<>(MAX_REMEMBERED_ENDS, REMEMBER_END_MS);

    InstanceRegistry(ProvisioningActions actions, HomeLookup homes, WorkerPool workerPool) {
        this.actions = actions;
        this.homes = homes;
        this.workerPool = workerPool;
    }

    InstanceLifecycle get(String id) {
        return instances.get(id);
    }

    boolean isEmpty() {
        return instances.isEmpty();
    }

    int size() {
        return instances.size();
    }

    Collection<InstanceLifecycle> all() {
        return instances.values();
    }

    /** A copy: hosts may be removed while it is walked. */
    List<InstanceLifecycle> ofService(String service) {
        Map<String, InstanceLifecycle> serviceInstances = byService.get(service);
        return serviceInstances == null ? List.of() : new ArrayList<>(serviceInstances.values());
    }

    /** A copy. */
    List<InstanceLifecycle> onWorker(String worker) {
        List<InstanceLifecycle> onWorker = new ArrayList<>();
        for (InstanceLifecycle instance : instances.values()) {
            if (worker.equals(instance.worker)) {
                onWorker.add(instance);
            }
        }
        return onWorker;
    }

    /** Instances of a home zone that may be given work or still have some. */
    List<InstanceInfo> inHomeZone(String service, String homeZone, long now) {
        List<InstanceInfo> hosts = new ArrayList<>();
        for (InstanceLifecycle instance : ofService(service)) {
            if (instance.homeZone.equals(homeZone) && !instance.stopping) {
                hosts.add(instance.toInfo(now));
            }
        }
        return hosts;
    }

    /** Adds it without a notice to its home. */
    void add(InstanceLifecycle instance) {
        instances.put(instance.id, instance);
        byService
                .computeIfAbsent(instance.service, name -> new LinkedHashMap<>())
                .put(instance.id, instance);
        byAddress.put(instance.address, instance);
        workerPool.instances(instance.worker, instance.service, 1);
    }

    /** The platform has given this address to another host just now: who had it has ended. */
    void onAddressReused(String address, String by, long now) {
        InstanceLifecycle former = byAddress.get(address);
        if (former != null && !former.id.equals(by)) {
            onGone(former, "its address has been given to " + by, false, now);
        }
    }

    /** A host turns out to be elsewhere than was thought. */
    void move(InstanceLifecycle instance, String zone, String worker) {
        instance.zone = zone;
        if (worker != null && !worker.equals(instance.worker)) {
            workerPool.instances(instance.worker, instance.service, -1);
            instance.worker = worker;
            workerPool.instances(worker, instance.service, 1);
        }
    }

    void onStarted(InstanceLifecycle instance, long now) {
        notifyHome(instance, new InstanceStarted(instance.nonce, instance.toInfo(now)));
    }

    void onDraining(InstanceLifecycle instance, String reason) {
        if (instance.state == InstanceInfo.LEAVING) {
            return;
        }
        instance.state = InstanceInfo.LEAVING;
        LOG.info("instance-draining")
                .with("host", instance.id)
                .with("service", instance.service)
                .with("why", reason)
                .log();
        if (!instance.stopping) {
            notifyHome(instance, new InstanceDraining(instance.id, instance.service));
        }
    }

    void onGone(InstanceLifecycle instance, String reason, boolean stopConfirmed, long now) {
        if (instances.remove(instance.id) == null) {
            return;
        }
        Map<String, InstanceLifecycle> serviceInstances = byService.get(instance.service);
        serviceInstances.remove(instance.id);
        if (serviceInstances.isEmpty()) {
            byService.remove(instance.service);
        }
        byAddress.remove(instance.address, instance);
        workerPool.instances(instance.worker, instance.service, -1);
        recordEnd(instance.id, reason, stopConfirmed, now);
        if (!stopConfirmed) {
            LOG.info("instance-gone")
                    .with("host", instance.id)
                    .with("service", instance.service)
                    .with("worker", instance.worker)
                    .with("why", reason)
                    .log();
        }
        notifyHome(instance, new InstanceGone(instance.id, instance.service));
    }

    /** Remembers the end of a host that may be unknown. */
    void recordEnd(String id, String reason, boolean stopConfirmed, long now) {
        ended.put(id, new End(reason, stopConfirmed), now);
    }

    /** Null: not known to have ended. */
    End findEnd(String id, long now) {
        return ended.get(id, now);
    }

    /** ms since it ended; -1: not known to have ended. */
    long msSinceEnd(String id, long now) {
        return ended.ageMs(id, now);
    }

    void revive(String id) {
        ended.remove(id);
    }

    private void notifyHome(InstanceLifecycle instance, Object frame) {
        String home = homes.edgeFor(instance.service, instance.homeZone);
        if (home != null) {
            actions.send(home, frame);
        }
    }
}
