package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import brambletray.platform.admission.HeldSlots;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRedirect;
import brambletray.platform.admission.SlotRefusal;
import brambletray.platform.admission.SlotRelease;
import brambletray.platform.admission.SlotRequest;
import brambletray.platform.admission.SlotRequestCancel;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.ConfigurationException;
import brambletray.platform.distribution.ConfigurationSubscriber;
import brambletray.platform.distribution.DeltaChunk;
import brambletray.platform.distribution.DeltaRequest;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.ProcessSignals;
import brambletray.platform.distribution.SettingsReload;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.Heartbeat;
import brambletray.platform.failuredetection.HeartbeatMonitor;
import brambletray.platform.failuredetection.HomeAssignment;
import brambletray.platform.failuredetection.Peer;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.failuredetection.SuspicionReport;
import brambletray.platform.failuredetection.SuspicionWithdrawal;
import brambletray.platform.failuredetection.WatchRing;
import brambletray.platform.logging.EventLog;
import brambletray.platform.logging.LogEventBuilder;
import brambletray.platform.operations.ResultResponse;
import brambletray.platform.proxy.ConfigurationSource;
import brambletray.platform.proxy.FrontEndServer;
import brambletray.platform.proxy.GracefulShutdown;
import brambletray.platform.proxy.HostConnectionPools;
import brambletray.platform.proxy.Readiness;
import brambletray.platform.proxy.RequestCounters;
import brambletray.platform.proxy.RequestRouter;
import brambletray.platform.quota.QuotaResponse;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Sockets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * The program of an edge machine: connects the components to sockets and to each other, and contains no decision logic
 * of its own. Confined to the event loop once {@link #run} has started it.
 */
public final class EdgeProgram {
    private static final EventLog LOG = EventLog.of("edge");
    /**
     * Longest and shortest interval between ticks, in ms. Each tick costs a wake-up, so a tick is scheduled for the
     * time at which something is due; the shorter interval applies if what is due cannot be done yet.
     */
    private static final int MAX_TICK_INTERVAL_MS = 200;

    private static final int MIN_TICK_INTERVAL_MS = 50;
    /** Interval in ms between log lines with metrics. */
    private static final int METRICS_INTERVAL_MS = 5_000;

    private static final int HEARTBEAT_INTERVAL_MS = 200;
    /** Client connections; the remaining file descriptors are left for instances, links and files. */
    private static final int MAX_CLIENTS = 2_000;

    private final NodeSettings nodeSettings;
    private final Machine machine;
    private final IntConsumer exit;
    private final FrameCodec codec = new FrameCodec(FrameTypes.ALL);
    private final LinkIntroduction introduction;
    private final RequestCounters counters = new RequestCounters();
    private final HostConnectionPools connectionPools;
    private final RequestRouter requestRouter;
    private final FrontEndServer frontEndServer;
    private final GracefulShutdown shutdown;
    private final SlotClient slotClient;
    private final LocalAdmission localAdmission;
    private final QuotaClient quotaClient;
    private final EdgeLinks edgeLinks;
    private final CoordinatorClient coordinatorClient;
    private final ConfigurationSubscriber subscriber = new ConfigurationSubscriber(new SubscriberActions());
    private final HeartbeatMonitor heartbeatMonitor;
    private final InstanceAddresses instanceAddresses = new InstanceAddresses();
    private final EarliestTimer admissionTimer;
    private final OperationClient operationClient;
    private final EarliestTimer operationTimer;
    private final EarliestTimer tickTimer;
    private Peer self;
    private Configuration configuration = Configuration.NONE;
    private Roster roster = Roster.NONE;
    private HomeAssignment homeAssignment = new HomeAssignment(Roster.NONE);
    private boolean leaving;
    private long metricsLoggedAtMs;

    /**
     * Call on the event loop, then call {@link #open}. {@code newIncarnation} is a random number; {@code exit} ends
     * the process with the given code.
     */
    EdgeProgram(NodeSettings nodeSettings, Machine machine, long newIncarnation, IntConsumer exit) {
        this.exit = exit;
        this.nodeSettings = nodeSettings;
        this.machine = machine;
        Address address = new Address(nodeSettings.ip(), nodeSettings.internalPortLow());
        self = new Peer(nodeSettings.node(), nodeSettings.zone(), address.toString(), newIncarnation, Peer.ACTIVE);
        introduction = new LinkIntroduction(self.name(), self.address(), false);
        connectionPools = new HostConnectionPools(machine, 4_000, counters);
        admissionTimer = new EarliestTimer(machine, this::tickAdmission);
        tickTimer = new EarliestTimer(machine, this::tick);
        localAdmission = new LocalAdmission(
                self.name(),
                self.zone(),
                self.name() + "-" + Long.toHexString(newIncarnation & 0xffffffffL),
                EdgeSettings.admissionParameters(nodeSettings),
                new AdmissionTransport(),
                this::now);
        slotClient = new SlotClient(new SlotClientTransport(), new InstanceTracking(), this::now);
        quotaClient = new QuotaClient(this::sendForQuota, this::now, EdgeSettings.quotaWindowMs(nodeSettings));
        operationTimer = new EarliestTimer(machine, this::tickOperations);
        operationClient = operationClient(newIncarnation);
        requestRouter = new RequestRouter(
                machine,
                self.name(),
                self.zone(),
                new CurrentConfiguration(),
                slotClient,
                quotaClient,
                operationClient,
                instanceAddresses::contains,
                connectionPools,
                counters,
                EdgeSettings.maxBufferedBytes(nodeSettings),
                newIncarnation);
        frontEndServer = new FrontEndServer(machine, requestRouter, MAX_CLIENTS);
        shutdown = new GracefulShutdown(machine, requestRouter, frontEndServer, exit);
        edgeLinks = new EdgeLinks(machine, codec, address, introduction, new PeerListener());
        coordinatorClient = coordinatorClient(newIncarnation);
        heartbeatMonitor = new HeartbeatMonitor(self, HEARTBEAT_INTERVAL_MS, new MonitorActions());
    }

    private CoordinatorClient coordinatorClient(long incarnation) {
        return new CoordinatorClient(
                machine,
                codec,
                introduction,
                EdgeSettings.coreMembers(nodeSettings),
                (int) incarnation,
                new CoordinatorListener());
    }

    private OperationClient operationClient(long incarnation) {
        return new OperationClient(
                incarnation, EdgeSettings.keyWindowMs(nodeSettings), new OperationLinks(), this::now);
    }

    /** Starts the program, which runs until SIGTERM. {@code newIncarnation} is a random number. */
    public static void run(NodeSettings nodeSettings, long newIncarnation) {
        Machine machine = Sockets.machine();
        Address frontEnd = nodeSettings.require("bind-addresses.front-end", nodeSettings.frontEnd());
        Address readiness = nodeSettings.require("bind-addresses.readiness", nodeSettings.readiness());
        if (nodeSettings.internalPortLow() == 0) {
            nodeSettings.require("internal-port-range", null);
        }
        machine.loop().execute(() -> {
            EdgeProgram program = new EdgeProgram(nodeSettings, machine, newIncarnation, System::exit);
            program.open(frontEnd, readiness);
            ProcessSignals.registerProgram(program.new SignalListener());
        });
    }

    private final class SignalListener implements ProcessSignals.Program {
        @Override
        public void terminate() {
            machine.loop().execute(EdgeProgram.this::leave);
        }

        @Override
        public void reload() {
            machine.loop().execute(EdgeProgram.this::reloadSettings);
        }
    }

    void open(Address frontEnd, Address readiness) {
        frontEndServer.listen(frontEnd).addListener(release -> onListening("front-end", frontEnd, release.cause()));
        new Readiness(machine, this::isReady)
                .listen(readiness)
                .addListener(release -> onListening("readiness", readiness, release.cause()));
        tickTimer.schedule(now() + MIN_TICK_INTERVAL_MS);
        LOG.info("started")
                .with("transport", Sockets.transport())
                .with("node", self.name())
                .with("zone", self.zone())
                .with("incarnation", Long.toHexString(self.incarnation()))
                .log();
    }

    private void onListening(String listenerName, Address address, Throwable cause) {
        if (cause != null) {
            LOG.warn("listen-failed")
                    .with("field", "bind-addresses." + listenerName)
                    .with("address", address)
                    .with("why", cause)
                    .log();
            exit.accept(2);
        }
    }

    /** The configuration under which requests are served. */
    Configuration configuration() {
        return configuration;
    }

    boolean isReady() {
        return !leaving && configuration != Configuration.NONE && roster.find(self.name()) != null;
    }

    /** Sends a quota frame and schedules a tick, which handles requests whose wait for a right is overdue. */
    private boolean sendForQuota(Object frame) {
        tickTimer.schedule(now() + MIN_TICK_INTERVAL_MS);
        return coordinatorClient.send(frame);
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private void tick() {
        try {
            long now = now();
            coordinatorClient.tick(now);
            quotaClient.tick(coordinatorClient.isAttached());
            subscriber.tick(now);
            heartbeatMonitor.tick(now);
            admissionTimer.recover(now);
            if (now - metricsLoggedAtMs > METRICS_INTERVAL_MS) {
                metricsLoggedAtMs = now;
                operationClient.removeExpired();
                LogEventBuilder line = LOG.info("figures")
                        .with("waiting", slotClient.pendingCount())
                        .with("held", slotClient.heldCount())
                        .with("queues", localAdmission.queueCount())
                        .with("revision", configuration.revision())
                        .with("connections", frontEndServer.connectionCount());
                counters.forEachNonZero(line::with);
                line.log();
            }
        } catch (RuntimeException e) {
            LOG.warn("tick-failed").withFailure(e).log();
        }
        scheduleTick();
    }

    /** Schedules the tick for the earliest time at which a component has something to do. */
    private void scheduleTick() {
        long now = now();
        long dueMs = Math.min(coordinatorClient.nextDueMs(), subscriber.nextDueMs());
        dueMs = Math.min(dueMs, heartbeatMonitor.nextDueMs());
        dueMs = Math.min(dueMs, now + (quotaClient.isIdle() ? MAX_TICK_INTERVAL_MS : MIN_TICK_INTERVAL_MS));
        tickTimer.schedule(dueMs > now ? dueMs : now + MIN_TICK_INTERVAL_MS);
    }

    private void tickAdmission() {
        localAdmission.tick();
    }

    private void tickOperations() {
        try {
            operationClient.tick();
        } catch (RuntimeException e) {
            LOG.warn("tick-failed").withFailure(e).log();
            operationTimer.schedule(now() + MIN_TICK_INTERVAL_MS);
        }
    }

    void reloadSettings() {
        SettingsReload.run(
                nodeSettings, current -> coordinatorClient.onMembers(EdgeSettings.coreMembers(current)), LOG);
    }

    /** Announces the shutdown, serves until clients have moved elsewhere, and exits once no request is in flight. */
    void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        long graceMs = (long) (nodeSettings.bounds().graceS() * 1_000);
        LOG.info("shutdown-started")
                .with("grace-ms", graceMs)
                .with("in-flight", requestRouter.inFlight())
                .log();
        shutdown.start(graceMs);
        self = self.asLeaving();
        heartbeatMonitor.updateSelf(self, configuration.revision());
        coordinatorClient.send(hello());
    }

    private EdgeHello hello() {
        return new EdgeHello(self, roster.term(), roster.number(), configuration.revision(), coordinatorClient.term());
    }

    // ---- Callbacks ------------------------------------------------------------------------------
    private final class CurrentConfiguration implements ConfigurationSource {
        @Override
        public Configuration current() {
            return configuration;
        }

        @Override
        public boolean mayBeOutdated() {
            return !coordinatorClient.isAttached() || !subscriber.isNewest();
        }
    }

    private final class SubscriberActions implements ConfigurationSubscriber.Actions {
        @Override
        public void sendRequest(DeltaRequest request) {
            coordinatorClient.send(request);
        }

        @Override
        public void onConfiguration(Configuration next, int bytes, long ms) {
            long before = configuration.revision();
            configuration = next;
            heartbeatMonitor.updateSelf(self, configuration.revision());
            localAdmission.onConfiguration(configuration);
            LOG.info("configuration")
                    .with("revision", configuration.revision())
                    .with("before", before)
                    .with("routes", configuration.routes().size())
                    .with("bytes", bytes)
                    .with("ms", ms)
                    .log();
        }

        @Override
        public void onRejected(ConfigurationException error) {
            LOG.warn("configuration-delta-rejected")
                    .with("revision", configuration.revision())
                    .with("code", error.code())
                    .with("why", error.getMessage())
                    .log();
        }
    }

    private void applyRoster(Roster next) {
        if (!next.isNewerThan(roster)) {
            return;
        }
        List<String> gone = new ArrayList<>();
        for (Peer peer : roster.peers()) {
            Peer newPeer = next.find(peer.name());
            if (newPeer == null || newPeer.incarnation() != peer.incarnation()) {
                gone.add(peer.name());
            }
        }
        roster = next;
        homeAssignment = new HomeAssignment(next);
        edgeLinks.onRoster(next);
        localAdmission.onRoster(homeAssignment, gone);
        slotClient.onRoster(homeAssignment);
        heartbeatMonitor.updateRing(new WatchRing(next), now());
        scheduleTick();
        LOG.info("roster")
                .with("term", next.term())
                .with("number", next.number())
                .with("peers", next.peers().size())
                .with("gone", gone)
                .log();
        if (!next.contains(self)) {
            coordinatorClient.send(hello());
        }
    }

    private final class CoordinatorListener implements CoordinatorClient.Listener {
        @Override
        public Object helloFrame() {
            return hello();
        }

        @Override
        public Roster currentRoster() {
            return roster;
        }

        @Override
        public void onRoster(Roster next) {
            applyRoster(next);
        }

        @Override
        public void onTimeoutChanged() {
            scheduleTick();
        }

        @Override
        public void onNewestRevision(long revision) {
            subscriber.onNewestRevision(revision, now());
        }

        @Override
        public void onChunk(DeltaChunk chunk) {
            subscriber.onChunk(chunk, now());
        }

        @Override
        public void onFrame(Object frame) {
            if (frame instanceof QuotaResponse response) {
                quotaClient.onResponse(response);
            } else if (!operationClient.onCoordinatorFrame(frame)) {
                localAdmission.onCoordinatorFrame(frame);
            }
        }

        @Override
        public void onAttached(long term) {
            heartbeatMonitor.onCoordinatorConnected();
            scheduleTick();
            quotaClient.onAttached(term);
            coordinatorClient.send(localAdmission.knownInstances());
            operationClient.onAttached();
            subscriber.onLinkUp(now());
        }
    }

    private final class PeerListener implements EdgeLinks.Listener {
        @Override
        public void onFrame(String peer, Object frame) {
            if (frame instanceof SlotRequest request) {
                localAdmission.onSlotRequest(request, false);
            } else if (frame instanceof SlotRelease release) {
                localAdmission.onSlotRelease(peer, release);
            } else if (frame instanceof SlotGrant grant) {
                slotClient.onGranted(peer, grant);
            } else if (frame instanceof SlotRefusal refusal) {
                slotClient.onRefused(peer, refusal);
            } else if (frame instanceof SlotRedirect redirect) {
                slotClient.onRedirect(peer, redirect);
            } else if (frame instanceof SlotRequestCancel cancel) {
                localAdmission.onCancel(peer, cancel);
            } else if (frame instanceof HeldSlots held) {
                localAdmission.onHeldSlots(held);
            } else if (frame instanceof Heartbeat heartbeat) {
                heartbeatMonitor.onHeartbeat(heartbeat, now());
            } else {
                operationClient.onEdgeFrame(peer, frame);
            }
        }

        @Override
        public void onLinkUp(String peer) {
            slotClient.onHomeReconnected(peer);
            operationClient.onLinkUp(peer);
        }

        @Override
        public void onLinkDown(String peer) {
            machine.loop().schedule(slotClient::reroute, 150, TimeUnit.MILLISECONDS);
        }
    }

    private final class OperationLinks implements OperationTransport {
        @Override
        public String self() {
            return self.name();
        }

        @Override
        public boolean sendToCoordinator(Object frame) {
            return coordinatorClient.send(frame);
        }

        @Override
        public boolean isReachable(String edge, long incarnation) {
            Peer peer = roster.find(edge);
            return peer != null && peer.incarnation() == incarnation;
        }

        @Override
        public void sendToEdge(String edge, Object frame) {
            edgeLinks.send(edge, frame);
        }

        @Override
        public void respondToEdge(String edge, ResultResponse response) {
            edgeLinks.respond(edge, response);
        }

        @Override
        public void scheduleTick(long atMs) {
            operationTimer.schedule(atMs);
        }
    }

    private final class MonitorActions implements HeartbeatMonitor.Actions {
        @Override
        public void sendHeartbeat(Peer watcher, Heartbeat heartbeat) {
            edgeLinks.send(watcher.name(), heartbeat);
        }

        @Override
        public void reportSuspicion(SuspicionReport report) {
            coordinatorClient.send(report);
        }

        @Override
        public void withdrawSuspicion(SuspicionWithdrawal withdrawal) {
            coordinatorClient.send(withdrawal);
        }

        @Override
        public void onProcessPaused(long ms) {
            LOG.info("process-paused").with("ms", ms).log();
        }
    }

    private final class InstanceTracking implements SlotClient.InstanceTracking {
        @Override
        public void onInstanceAddress(String address) {
            instanceAddresses.add(address);
        }

        @Override
        public void onHeldLocally(HeldSlots held) {
            localAdmission.onHeldSlots(held);
        }
    }

    private final class SlotClientTransport implements SlotClient.Transport {
        @Override
        public String self() {
            return self.name();
        }

        @Override
        public String zone() {
            return self.zone();
        }

        @Override
        public void requestLocally(SlotRequest request, boolean serveHere) {
            localAdmission.onSlotRequest(request, serveHere);
        }

        @Override
        public void releaseLocally(SlotRelease release) {
            localAdmission.onSlotRelease(self.name(), release);
        }

        @Override
        public void cancelLocally(SlotRequestCancel cancel) {
            localAdmission.onCancel(self.name(), cancel);
        }

        @Override
        public boolean send(String edge, Object frame) {
            return edgeLinks.send(edge, frame);
        }

        @Override
        public boolean isUnreachable(String edge) {
            return edgeLinks.isUnreachable(edge);
        }
    }

    private final class AdmissionTransport implements LocalAdmission.Transport {
        @Override
        public void grant(String edge, SlotGrant grant) {
            if (edge.equals(self.name())) {
                slotClient.onGranted(edge, grant);
            } else {
                edgeLinks.respond(edge, grant);
            }
        }

        @Override
        public void refuse(String edge, SlotRefusal refusal) {
            if (edge.equals(self.name())) {
                slotClient.onRefused(edge, refusal);
            } else {
                edgeLinks.respond(edge, refusal);
            }
        }

        @Override
        public void redirect(String edge, SlotRedirect redirect) {
            if (edge.equals(self.name())) {
                slotClient.onRedirect(edge, redirect);
            } else {
                edgeLinks.respond(edge, redirect);
            }
        }

        @Override
        public void scheduleTick(long at) {
            admissionTimer.schedule(at);
        }

        @Override
        public void sendToCoordinator(Object frame) {
            coordinatorClient.send(frame);
        }

        @Override
        public void probe(String service, String host, String address) {
            connectionPools.probe(host, address, ok -> localAdmission.onProbed(host, ok));
        }
    }
}
