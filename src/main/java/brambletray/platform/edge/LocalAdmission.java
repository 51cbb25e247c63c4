package brambletray.platform.edge;

import brambletray.platform.admission.AdmissionActions;
import brambletray.platform.admission.AdmissionParameters;
import brambletray.platform.admission.HeldSlots;
import brambletray.platform.admission.ServiceQueues;
import brambletray.platform.admission.ServiceSpec;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.admission.SlotRequestCancel;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Route;
import brambletray.platform.configuration.Service;
import brambletray.platform.configuration.ServiceShare;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceDraining;
import brambletray.platform.provisioning.InstanceGone;
import brambletray.platform.provisioning.InstanceList;
import brambletray.platform.provisioning.InstanceStarted;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.KnownInstances;
import brambletray.platform.provisioning.ReclaimIdleInstances;
import brambletray.platform.provisioning.StartRefusal;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * The service queues of which this edge is the home, and their messages. Actions that the queues request are run after
 * the call into the queues has returned, because the queues are not reentrant. Confined to the event loop.
 */
final class LocalAdmission {
    /** Interval in ms between checks for queues whose home is another edge by now. */
    private static final int SWEEP_INTERVAL_MS = 1_000;

    /**
     * Time in ms for which held slots are retained that were reported for a service of which this edge is not the home
     * yet: rosters reach edges at different times.
     */
    private static final int EARLY_REPORT_TTL_MS = 2_000;
    /** Maximum number of early reports at a time. */
    private static final int MAX_EARLY_REPORTS = 1_024;

    /** Held slots that an edge has reported before this edge knew that it is the home of their service. */
    private record EarlyReport(HeldSlots held, long reportedAtMs) {}

    /** Delivers messages of the queues. */
    interface Transport {
        void grant(String edge, SlotGrant grant);

        void refuse(String edge, SlotRefusal refusal);

        void redirect(String edge, SlotRedirect redirect);

        void sendToCoordinator(Object frame);

        /** Requests a call of {@link #tick} at this time, ms; called whenever the time changes. */
        void scheduleTick(long at);

        void probe(String service, String host, String address);
    }

    private final String self;
    private final String zone;
    private final ServiceQueues queues;
    private final Transport transport;
    private final LongSupplier clock;
    private final ArrayDeque<Runnable> deferredActions = new ArrayDeque<>();
    private final Map<String, ServiceSpec> specs = new HashMap<>();
    private final List<EarlyReport> earlyReports = new ArrayList<>();
    private HomeAssignment homeAssignment = new HomeAssignment(Roster.NONE);
    private boolean runningActions;
    private long sweptAtMs;

    LocalAdmission(
            String self,
            String zone,
            String noncePrefix,
            AdmissionParameters parameters,
            Transport transport,
            LongSupplier clock) {
        this.self = self;
        this.zone = zone;
        this.transport = transport;
        this.clock = clock;
        this.queues = new ServiceQueues(zone, noncePrefix, parameters, new DeferredActions());
    }

    private long now() {
        return clock.getAsLong();
    }

    /** Runs the actions that the queues requested during the call that has just returned. */
    private void runDeferred() {
        if (runningActions) {
            return;
        }
        runningActions = true;
        try {
            for (Runnable next = deferredActions.poll(); next != null; next = deferredActions.poll()) {
                next.run();
            }
        } finally {
            runningActions = false;
        }
        transport.scheduleTick(Math.min(queues.nextDueMs(), sweptAtMs + SWEEP_INTERVAL_MS + 1));
    }

    void onSlotRequest(SlotRequest request, boolean serveHere) {
        if (!queues.isHomeOf(request.service())) {
            takeOver(request.service(), homeAssignment.rootZone(request.service()));
        }
        if (!queues.onSlotRequest(request, serveHere, now())) {
            transport.refuse(request.edge(), new SlotRefusal(request.id(), -1));
        }
        runDeferred();
    }

    /** Becomes the home of a service, and applies the early reports of its held slots. */
    private void takeOver(String service, String rootZone) {
        queues.takeOver(service, rootZone, otherEdges(), now());
        if (!queues.isHomeOf(service)) {
            return;
        }
        for (EarlyReport report : earlyReports) {
            if (report.held.service().equals(service) && now() - report.reportedAtMs <= EARLY_REPORT_TTL_MS) {
                queues.onHeldSlots(report.held, now());
            }
        }
        earlyReports.removeIf(report -> report.held.service().equals(service));
    }

    private void storeEarlyReport(HeldSlots held) {
        earlyReports.removeIf(report -> now() - report.reportedAtMs > EARLY_REPORT_TTL_MS
                || report.held.edge().equals(held.edge())
                        && report.held.service().equals(held.service()));
        if (earlyReports.size() < MAX_EARLY_REPORTS) {
            earlyReports.add(new EarlyReport(held, now()));
        }
    }

    /** Removes a slot from early reports, because it was released or its request was cancelled. */
    private void removeFromEarlyReports(String edge, long requestId) {
        earlyReports.replaceAll(report -> report.held.edge().equals(edge)
                ? new EarlyReport(report.held.without(requestId), report.reportedAtMs)
                : report);
    }

    private List<String> otherEdges() {
        List<String> names = new ArrayList<>();
        for (Peer peer : homeAssignment.roster().peers()) {
            if (!peer.name().equals(self)) {
                names.add(peer.name());
            }
        }
        return names;
    }

    void onSlotRelease(String edge, SlotRelease release) {
        removeFromEarlyReports(edge, release.requestId());
        queues.onSlotRelease(edge, release, now());
        runDeferred();
    }

    void onCancel(String edge, SlotRequestCancel cancel) {
        removeFromEarlyReports(edge, cancel.requestId());
        queues.onCancel(edge, cancel, now());
        runDeferred();
    }

    void onHeldSlots(HeldSlots held) {
        if (queues.isHomeOf(held.service())) {
            queues.onHeldSlots(held, now());
        } else {
            storeEarlyReport(held);
            if (isHome(held.service())) {
                takeOver(held.service(), homeAssignment.rootZone(held.service()));
            }
        }
        runDeferred();
    }

    void onProbed(String host, boolean ok) {
        queues.onProbed(host, ok, now());
        runDeferred();
    }

    private boolean isHome(String service) {
        Peer home = homeAssignment.homeOf(service, zone);
        return home != null && home.name().equals(self);
    }

    /** Handles a message of the coordinator. */
    void onCoordinatorFrame(Object frame) {
        long now = now();
        if (frame instanceof InstanceStarted started) {
            queues.onInstanceStarted(started, now);
        } else if (frame instanceof InstanceList instances) {
            queues.onInstanceList(instances, now);
        } else if (frame instanceof StartRefusal refusal) {
            queues.onStartRefused(refusal, now);
        } else if (frame instanceof InstanceDraining draining) {
            queues.onInstanceDraining(draining, now);
        } else if (frame instanceof InstanceGone gone) {
            queues.onInstanceGone(gone, now);
        } else if (frame instanceof ReclaimIdleInstances reclaim) {
            queues.reclaim(reclaim, now);
        }
        runDeferred();
    }

    /** Applies a new configuration. */
    void onConfiguration(Configuration configuration) {
        Map<String, Integer> targets = new HashMap<>();
        for (Route route : configuration.routes().values()) {
            for (ServiceShare share : route.shares()) {
                targets.merge(share.service(), route.latencyTargetMs(), Math::min);
            }
        }
        Set<String> removed = new HashSet<>(specs.keySet());
        specs.clear();
        long now = now();
        for (Service service : configuration.services().values()) {
            ServiceSpec spec = new ServiceSpec(
                    service.name(),
                    service.memoryMb(),
                    service.bootMs(),
                    service.maxConcurrency(),
                    targets.getOrDefault(service.name(), 0));
            specs.put(service.name(), spec);
            queues.onServiceSpec(spec, now);
            removed.remove(service.name());
        }
        for (String removedService : removed) {
            queues.withdraw(removedService, now);
        }
        startWarmInstances();
        runDeferred();
    }

    /**
     * Keeps one warm instance in the root zone of each service whose boot time exceeds its latency target: a cold start
     * would miss the target.
     */
    private void startWarmInstances() {
        for (ServiceSpec spec : specs.values()) {
            if (spec.targetMs() > 0
                    && spec.bootMs() > spec.targetMs()
                    && !queues.isHomeOf(spec.service())
                    && zone.equals(homeAssignment.rootZone(spec.service()))
                    && isHome(spec.service())) {
                takeOver(spec.service(), zone);
            }
        }
    }

    /** Applies a new roster; {@code gone} lists edges that have left or restarted as another incarnation. */
    void onRoster(HomeAssignment next, List<String> gone) {
        homeAssignment = next;
        for (String edge : gone) {
            earlyReports.removeIf(report -> report.held.edge().equals(edge));
            queues.onEdgeGone(edge, now());
        }
        sweep();
        startWarmInstances();
        runDeferred();
    }

    private void sweep() {
        sweptAtMs = now();
        for (String service : queues.services()) {
            if (!isHome(service)) {
                queues.handOver(service, sweptAtMs);
            } else {
                queues.takeOver(service, homeAssignment.rootZone(service), List.of(), sweptAtMs);
            }
        }
    }

    void tick() {
        long now = now();
        if (now - sweptAtMs > SWEEP_INTERVAL_MS) {
            sweep();
        }
        if (queues.nextDueMs() <= now) {
            queues.tick(now);
        }
        runDeferred();
    }

    KnownInstances knownInstances() {
        return queues.knownInstances(now());
    }

    int queueCount() {
        return queues.services().size();
    }

    private final class DeferredActions implements AdmissionActions {
        @Override
        public void grant(String edge, SlotGrant grant) {
            deferredActions.add(() -> transport.grant(edge, grant));
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {
            deferredActions.add(() -> transport.refuse(edge, refusal));
        }

        @Override
        public void redirect(String edge, SlotRedirect redirect) {
            deferredActions.add(() -> transport.redirect(edge, redirect));
        }

        @Override
        public void requestStart(StartRequest startRequest) {
            deferredActions.add(() -> transport.sendToCoordinator(startRequest));
        }

        @Override
        public void requestStop(StopRequest stopRequest) {
            deferredActions.add(() -> transport.sendToCoordinator(stopRequest));
        }

        @Override
        public void reportUp(InstanceUp instanceUp) {
            deferredActions.add(() -> transport.sendToCoordinator(instanceUp));
        }

        @Override
        public void claimHome(HomeClaim claim) {
            deferredActions.add(() -> transport.sendToCoordinator(claim));
        }

        @Override
        public void probe(String service, String host, String address) {
            deferredActions.add(() -> transport.probe(service, host, address));
        }
    }
}
