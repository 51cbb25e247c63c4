package brambletray.platform.provisioning;

import brambletray.platform.logging.EventLog;

/** Notifies homes of the outcome of their starts, and again while they ask with the same nonce. */
final class StartAnswers implements InstanceStarts.Listener {
    private static final EventLog LOG = EventLog.of("provisioning");
    /** Answers that are remembered, and ms for which. */
    private static final int MAX_REMEMBERED = 8_192;

    private static final long REMEMBER_MS = 60_000;
    /** ms between two log lines of starts that were turned down. */
    private static final long MIN_LOG_INTERVAL_MS = 1_000;

    private final ProvisioningActions actions;
    private final HomeLookup homes;
    private final InstanceRegistry registry;
    private final WorkerPool workerPool;
    private final RecentNames<String> started = new RecentNames<>(MAX_REMEMBERED, REMEMBER_MS);
    private final RecentNames<StartRefusal> rejected = new RecentNames<>(MAX_REMEMBERED, REMEMBER_MS);
    private long loggedAtMs = Long.MIN_VALUE / 2;
    private int skippedLogLines;

    StartAnswers(ProvisioningActions actions, HomeLookup homes, InstanceRegistry registry, WorkerPool workerPool) {
        this.actions = actions;
        this.homes = homes;
        this.registry = registry;
        this.workerPool = workerPool;
    }

    /** False: it has not been answered, or turned down so long ago that it may be tried once more. */
    boolean repeatAnswer(String edge, StartRequest request, long now) {
        String id = started.get(request.nonce(), now);
        if (id != null) {
            InstanceLifecycle instance = registry.get(id);
            actions.send(
                    edge,
                    instance == null || instance.stopping
                            ? new StartRefusal(request.nonce(), 0)
                            : new InstanceStarted(request.nonce(), instance.toInfo(now)));
            return true;
        }
        StartRefusal rejection = rejected.get(request.nonce(), now);
        if (rejection != null && rejected.ageMs(request.nonce(), now) < rejection.retryAfterMs()) {
            actions.send(edge, rejection);
            return true;
        }
        return false;
    }

    /** An edge has reported which instance its nonce was answered with. */
    void onKnownInstance(InstanceInfo host, long now) {
        started.put(host.nonce(), host.id(), now);
    }

    @Override
    public void onStarted(PendingStart start, StartResponse response, long now) {
        InstanceLifecycle instance = registry.get(response.id());
        if (registry.findEnd(response.id(), now) != null) {
            onRejected(start, 0, "host " + response.id() + " has ended", now);
            return;
        }
        if (instance != null && !instance.homeZone.equals(start.homeZone)) {
            onRejected(start, 0, "host " + instance.id + " belongs to the home zone " + instance.homeZone, now);
            return;
        }
        if (instance == null) {
            if (!start.outcomeUnknown) {
                registry.onAddressReused(response.address(), response.id(), now);
            }
            instance = new InstanceLifecycle(response.id(), start.service, response.address(), start.nonce, now)
                    .place(start.zone, start.homeZone, start.worker);
            registry.add(instance);
        }
        started.put(start.nonce, instance.id, now);
        InstanceStarted instanceStarted = new InstanceStarted(start.nonce, instance.toInfo(now));
        actions.send(start.edge, instanceStarted);
        String home = homes.edgeFor(start.service, start.homeZone);
        if (home != null && !home.equals(start.edge)) {
            actions.send(home, instanceStarted);
        }
        WorkerCapacity worker = workerPool.worker(instance.worker);
        if (worker == null) {
            registry.onGone(instance, "its worker is down", false, now);
        } else if (worker.draining()) {
            registry.onDraining(instance, "its worker drains");
        }
    }

    @Override
    public void onRejected(PendingStart start, int comeBackMs, String reason, long now) {
        skippedLogLines++;
        if (now - loggedAtMs >= MIN_LOG_INTERVAL_MS) {
            LOG.info("start-rejected")
                    .with("service", start.service)
                    .with("home-zone", start.homeZone)
                    .with("why", reason)
                    .with("retry-after-ms", comeBackMs)
                    .with("skipped", skippedLogLines)
                    .log();
            loggedAtMs = now;
            skippedLogLines = 0;
        }
        StartRefusal rejection = new StartRefusal(start.nonce, comeBackMs);
        rejected.put(start.nonce, rejection, now);
        actions.send(start.edge, rejection);
    }
}
