package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Starts and stops instances as homes request, at the coordinator, and notifies homes of what becomes of them. A
 * state machine: times (ms of a steady clock) and events go in, {@link ProvisioningActions} carry out the rest. One
 * thread.
 */
public final class Provisioner {
    /** The frames of this plane, for the links. */
    public static final List<Class<?>> MESSAGES = List.of(
            StartRequest.class,
            InstanceInfo.class,
            InstanceStarted.class,
            StartRefusal.class,
            InstanceDraining.class,
            InstanceGone.class,
            StopRequest.class,
            InstanceUp.class,
            HomeClaim.class,
            InstanceList.class,
            KnownInstances.class,
            ReclaimIdleInstances.class);

    private static final EventLog LOG = EventLog.of("provisioning");
    /** ms; a stop that has waited so long goes before starts. */
    private static final long MAX_STOP_WAIT_MS = 500;
    /** ms of a new term in which hosts that its predecessor started may still appear. */
    private static final long TAKEOVER_MS = 5_000;

    private final ProvisioningActions actions;
    private final HomeLookup homes;
    private final WorkerPool workerPool;
    private final InstanceRegistry registry;
    private final CallPacer callPacer;
    private final ListPolling listPolling;
    private final InstanceStops stops;
    private final InstanceStarts starts;
    private final InstanceListReconciler reconciler;
    private final CoordinatorTakeover takeover;
    private final StartAnswers answers;
    private final OrphanDetector orphans;
    private final KnowledgeRecovery knowledgeRecovery;
    private final long startedAtMs;
    private Map<String, InstanceSize> sizes = Map.of();
    /** The configuration is known: until then nothing is started, and no instance counts as of an unknown service. */
    private boolean configured;

    /** A new holder of the duty, that knows nothing yet. */
    public Provisioner(PlatformTerms terms, ProvisioningActions actions, HomeLookup homes, long now) {
        this.actions = actions;
        this.homes = homes;
        workerPool = new WorkerPool(terms.listLagMs());
        registry = new InstanceRegistry(actions, homes, workerPool);
        callPacer = new CallPacer(terms.coordinatorRatePerS(), now);
        listPolling = new ListPolling(terms.ratePerS());
        stops = new InstanceStops(
                actions,
                registry,
                workerPool,
                callPacer,
                service -> sizes.getOrDefault(service, new InstanceSize(0, 0)).memoryMb());
        answers = new StartAnswers(actions, homes, registry, workerPool);
        MemoryPressure memoryPressure = new MemoryPressure(actions, homes, registry);
        starts = new InstanceStarts(
                actions,
                workerPool,
                terms,
                callPacer,
                listPolling,
                service -> sizes.get(service),
                answers,
                memoryPressure);
        reconciler =
                new InstanceListReconciler(registry, stops, starts, service -> sizes.get(service), terms.listLagMs());
        takeover = new CoordinatorTakeover(now);
        orphans = new OrphanDetector(registry, homes, stops);
        knowledgeRecovery = new KnowledgeRecovery(actions, homes, registry, workerPool, answers, orphans);
        startedAtMs = now;
    }

    /**
     * The edges whose {@link KnownInstances} is awaited before a host counts as known to nobody; without it, 1.5 s are
     * waited.
     */
    public void expectReportsFrom(Set<String> edges) {
        takeover.expect(edges);
    }

    /**
     * The services of the configuration in force. Hosts of those that are not in it are stopped after 10 s, unless
     * their homes are faster.
     */
    public void onConfigurationChanged(Map<String, InstanceSize> services, long now) {
        configured = true;
        sizes = Map.copyOf(services);
        orphans.configuration(sizes.keySet());
        orphans.check(now);
    }

    /** A home wants a host. The same nonce again: the same answer, or none yet. */
    public void onStartRequest(String edge, StartRequest request, long now) {
        orphans.onClaimed(request.service(), request.homeZone(), edge);
        if (answers.repeatAnswer(edge, request, now)) {
            return;
        }
        starts.request(edge, request, now);
        makeCalls(now);
    }

    /** A home has drained an instance. Only its own home may have it stopped. */
    public void onStopRequest(String edge, StopRequest request, long now) {
        InstanceLifecycle instance = registry.get(request.id());
        if (instance != null) {
            String home = homes.edgeFor(instance.service, instance.homeZone);
            if (home != null && !home.equals(edge)) {
                LOG.debug("stop-request-ignored")
                        .with("host", instance.id)
                        .with("from", edge)
                        .with("home", home)
                        .log();
                return;
            }
        } else if (registry.findEnd(request.id(), now) != null) {
            actions.send(edge, new InstanceGone(request.id(), request.service()));
            return;
        }
        stops.request(request.id(), "its home wants it stopped", now);
        makeCalls(now);
    }

    /** A home has had a connection come up there. */
    public void onInstanceUp(String edge, InstanceUp instanceUp, long now) {
        InstanceLifecycle instance = registry.get(instanceUp.id());
        if (instance != null) {
            instance.markUp(now);
        }
    }

    /**
     * A new home is sent its instances, and each that becomes known later by {@link InstanceStarted}. A coordinator
     * that has just begun, and knows none, answers only once edges have reported and it has seen a list.
     */
    public void onHomeClaim(String edge, HomeClaim claim, long now) {
        orphans.onClaimed(claim.service(), claim.homeZone(), edge);
        starts.forget(claim.service(), claim.homeZone(), edge);
        List<InstanceInfo> hosts = registry.inHomeZone(claim.service(), claim.homeZone(), now);
        if (hosts.isEmpty() && takeover.isIncomplete(now)) {
            takeover.deferClaim(edge, claim);
        } else {
            actions.send(edge, new InstanceList(claim.service(), claim.homeZone(), hosts));
        }
    }

    private void answerClaims(long now) {
        if (!takeover.isIncomplete(now)) {
            takeover.releaseClaims((edge, claim) -> onHomeClaim(edge, claim, now));
        }
    }

    /**
     * The instances that an edge knows, all of them, when its link comes up. It is notified of what it has missed.
     */
    public void onKnownInstances(String edge, KnownInstances knownInstances, long now) {
        knowledgeRecovery.onKnownInstances(edge, knownInstances, now);
        takeover.onReported(edge);
        answerClaims(now);
    }

    /** An edge is gone: what it asked for and has not been called is forgotten; its hosts await the next homes. */
    public void onEdgeGone(String edge, long now) {
        starts.forget(edge);
        takeover.onReported(edge);
    }

    /**
     * The platform's list. {@code complete}: all of its pages have come; else no absence is concluded from it, and it
     * is asked for again soon.
     */
    public void onInstanceList(List<ListedInstance> list, boolean complete, long now) {
        long asked = listPolling.instances.onCompleted(now, complete);
        reconciler.reconcile(list, asked, complete, configured && takeover.isOver(now), now);
        if (complete) {
            takeover.onListed(now);
        }
        answerClaims(now);
        orphans.check(now);
        makeCalls(now);
    }

    /** The platform's workers. */
    public void onWorkerList(List<WorkerInfo> workers, long now) {
        WorkerPool.Changes changes = workerPool.onListed(workers, listPolling.workers.onCompleted(now, true));
        if (changes.uncertain()) {
            listPolling.hasten();
        }
        for (String worker : changes.draining()) {
            List<InstanceLifecycle> onWorker = registry.onWorker(worker);
            LOG.info("worker-draining")
                    .with("worker", worker)
                    .with("hosts", onWorker.size())
                    .log();
            onWorker.forEach(instance -> registry.onDraining(instance, "its worker drains"));
        }
        for (String worker : changes.down()) {
            List<InstanceLifecycle> onWorker = registry.onWorker(worker);
            LOG.info("worker-down")
                    .with("worker", worker)
                    .with("hosts", onWorker.size())
                    .log();
            onWorker.forEach(instance -> registry.onGone(instance, "its worker is down", false, now));
        }
        makeCalls(now);
    }

    /** The workers did not come. */
    public void onWorkerListFailed(long now) {
        listPolling.workers.onCompleted(now, false);
    }

    /** The answer to {@link ProvisioningActions#startInstance}. */
    public void onStartAnswered(String nonce, StartResponse response, long now) {
        starts.onAnswered(nonce, response, now);
        makeCalls(now);
    }

    /** The answer to {@link ProvisioningActions#stopInstance}. */
    public void onStopAnswered(String id, CallResult result, long now) {
        stops.onAnswered(id, result, now);
        makeCalls(now);
    }

    /** Time has passed: every 20 to 50 ms. */
    public void tick(long now) {
        boolean young = now - startedAtMs < TAKEOVER_MS;
        listPolling.tick(now, young || !registry.isEmpty() || !starts.isEmpty() || !stops.isEmpty(), actions);
        starts.tick(now);
        answerClaims(now);
        makeCalls(now);
    }

    /** Calls what the pace allows: starts first, but a stop does not wait for ever. */
    private void makeCalls(long now) {
        while (callPacer.mayCall(now)) {
            boolean stopFirst = stops.oldestWaitMs(now) > MAX_STOP_WAIT_MS;
            if (!(stopFirst && stops.callOne(now)) && !(configured && starts.callOne(now)) && !stops.callOne(now)) {
                return;
            }
        }
    }

    /** The hosts that are known, for the operator: of one service, or (null) of all; not more than {@code maxCount}. */
    public List<InstanceInfo> instances(String service, int maxCount, long now) {
        List<InstanceInfo> hosts = new ArrayList<>();
        for (InstanceLifecycle instance : service == null ? registry.all() : registry.ofService(service)) {
            if (hosts.size() < maxCount) {
                hosts.add(instance.toInfo(now));
            }
        }
        return hosts;
    }

    /** How many hosts are known, for log lines and the operator. */
    public int instanceCount() {
        return registry.size();
    }
}
