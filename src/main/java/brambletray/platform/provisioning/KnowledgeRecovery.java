package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.HashSet;
import java.util.Set;

/**
 * Rebuilds the registry from what edges report. The edge that reports an instance first is right about its home zone;
 * the home of another zone is notified that it is gone. An edge that was disconnected is notified of what it has
 * missed.
 */
final class KnowledgeRecovery {
    private static final EventLog LOG = EventLog.of("provisioning");

    private final ProvisioningActions actions;
    private final HomeLookup homes;
    private final InstanceRegistry registry;
    private final WorkerPool workerPool;
    private final StartAnswers answers;
    private final OrphanDetector orphans;

    KnowledgeRecovery(
            ProvisioningActions actions,
            HomeLookup homes,
            InstanceRegistry registry,
            WorkerPool workerPool,
            StartAnswers answers,
            OrphanDetector orphans) {
        this.actions = actions;
        this.homes = homes;
        this.registry = registry;
        this.workerPool = workerPool;
        this.answers = answers;
        this.orphans = orphans;
    }

    void onKnownInstances(String edge, KnownInstances knownInstances, long now) {
        orphans.onEdgeRestarted(edge);
        Set<String> named = new HashSet<>();
        for (InstanceInfo info : knownInstances.instances()) {
            named.add(info.id());
            orphans.onClaimed(info.service(), info.homeZone(), edge);
            onKnownInstance(edge, info, now);
        }
        for (InstanceLifecycle instance : registry.all()) {
            if (!instance.stopping
                    && !named.contains(instance.id)
                    && edge.equals(homes.edgeFor(instance.service, instance.homeZone))) {
                registry.onStarted(instance, now);
            }
        }
    }

    private void onKnownInstance(String edge, InstanceInfo info, long now) {
        if (registry.findEnd(info.id(), now) != null) {
            actions.send(edge, new InstanceGone(info.id(), info.service()));
            return;
        }
        InstanceLifecycle instance = registry.get(info.id());
        if (instance != null && !instance.homeZone.equals(info.homeZone())) {
            LOG.warn("instance-reported-twice")
                    .with("host", instance.id)
                    .with("home-zone", instance.homeZone)
                    .with("from", edge)
                    .with("reported-zone", info.homeZone())
                    .log();
            actions.send(edge, new InstanceGone(info.id(), info.service()));
            return;
        }
        answers.onKnownInstance(info, now);
        if (instance == null) {
            adopt(edge, info, now);
        } else if (instance.state == InstanceInfo.LEAVING && info.state() != InstanceInfo.LEAVING) {
            actions.send(edge, new InstanceDraining(instance.id, instance.service));
        }
    }

    private void adopt(String edge, InstanceInfo info, long now) {
        InstanceLifecycle instance = new InstanceLifecycle(
                        info.id(), info.service(), info.address(), info.nonce(), now - info.ageMs())
                .place(info.zone(), info.homeZone(), info.worker());
        instance.state = info.state();
        if (info.state() != InstanceInfo.BOOTING) {
            instance.upAtMs = now;
        }
        registry.add(instance);
        if (!edge.equals(homes.edgeFor(info.service(), info.homeZone()))) {
            registry.onStarted(instance, now);
        }
        WorkerCapacity worker = workerPool.worker(info.worker());
        if (worker != null && worker.draining()) {
            registry.onDraining(instance, "its worker drains");
        }
    }
}
