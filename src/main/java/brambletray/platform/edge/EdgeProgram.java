package brambletray.platform.edge;

import brambletray.platform.admission.AdmissionParameters;
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
import brambletray.platform.proxy.FrontEndServer;
import brambletray.platform.proxy.GracefulShutdown;
import brambletray.platform.proxy.HostConnectionPools;
import brambletray.platform.proxy.Readiness;
import brambletray.platform.proxy.RequestCounters;
import brambletray.platform.proxy.RequestRouter;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.settings.SettingsException;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Sockets;
import brambletray.runtime.Machine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * The program of an edge: puts the planes together, and decides nothing. For the loop only, once {@link #begin} has
 * run.
 */
public final class EdgeProgram {
    private static final EventLog LOG = EventLog.of("edge");
    /** ms: between ticks, each of which costs a wake-up; between figures in the log. */
    private static final int TICK = 50;

    private static final int FIGURES = 5_000;

    private static final int BEAT = 200;
    /** Addresses of hosts that are remembered, to know their calls by. */
    private static final int HOSTS = 4_096;
    /** Connections of clients; the rest of the descriptors is for hosts, relays and files. */
    private static final int CLIENTS = 2_000;

    private final NodeSettings nodeSettings;
    private final Machine machine;
    private final IntConsumer exit;
    private final FrameCodec speech = new FrameCodec(FrameTypes.ALL);
    private final LinkIntroduction iam;
    private final RequestCounters counters = new RequestCounters();
    private final HostConnectionPools lines;
    private final RequestRouter flow;
    private final FrontEndServer front;
    private final GracefulShutdown shutdown;
    private final SlotClient slotClient;
    private final LocalAdmission localAdmission;
    private final EdgeLinks edgeLinks;
    private final CoordinatorClient coordinatorClient;
    private final ConfigurationSubscriber subscriber = new ConfigurationSubscriber(new SubscriberOut());
    private final HeartbeatMonitor watch;
    private final Map<String, Boolean> hostIps = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > HOSTS;
        }
    };
    private Peer self;
    private Configuration configuration = Configuration.NONE;
    private Roster roster = Roster.NONE;
    private HomeAssignment homes = new HomeAssignment(Roster.NONE);
    private boolean leaving;
    private long figuresAt;
    /** When the seats are called next, ms. */
    private long hallAt = Long.MAX_VALUE;

    /**
     * On the loop; {@link #open} follows. {@code life}: drawn at random; {@code exit}: ends the process with this code.
     */
    EdgeProgram(NodeSettings nodeSettings, Machine machine, long life, IntConsumer exit) {
        this.exit = exit;
        this.nodeSettings = nodeSettings;
        this.machine = machine;
        Address inner = new Address(nodeSettings.ip(), nodeSettings.innerLow());
        self = new Peer(nodeSettings.node(), nodeSettings.zone(), inner.toString(), life, Peer.ACTIVE);
        iam = new LinkIntroduction(self.name(), self.address(), false);
        lines = new HostConnectionPools(machine, 4_000, counters);
        AdmissionParameters laws = AdmissionParameters.of(
                nodeSettings.bounds().retryBudgetRatio(),
                (int) nodeSettings.bounds().retryBudgetSlack(),
                (int) (nodeSettings.bounds().retryWindowS() * 1_000),
                Math.max(1, nodeSettings.zones().size()));
        String nonces = self.name() + "-" + Long.toHexString(life & 0xffffffffL);
        localAdmission = new LocalAdmission(self.name(), self.zone(), nonces, laws, new HallWays(), this::now);
        slotClient = new SlotClient(new StewardWays(), new Spots(), this::now);
        flow = new RequestRouter(
                machine,
                self.name(),
                self.zone(),
                () -> configuration,
                slotClient,
                hostIps::containsKey,
                lines,
                counters,
                Math.min(48L << 20, (long) nodeSettings.limits().memoryMb() << 17),
                life);
        front = new FrontEndServer(machine, flow, CLIENTS);
        shutdown = new GracefulShutdown(machine, flow, front, exit);
        edgeLinks = new EdgeLinks(machine, speech, inner, iam, new Peers());
        coordinatorClient =
                new CoordinatorClient(machine, speech, iam, members(nodeSettings), (int) life, new HubEar());
        watch = new HeartbeatMonitor(self, BEAT, new WatchHands());
    }

    private static List<Address> members(NodeSettings nodeSettings) {
        List<Address> members = new ArrayList<>();
        for (Address seed : nodeSettings.seeds()) {
            members.add(new Address(seed.host(), nodeSettings.innerLow()));
        }
        return members;
    }

    /** Runs until it is told to end; the process's exit code. {@code life}: drawn at random. */
    public static void begin(NodeSettings nodeSettings, long life) {
        Machine machine = Sockets.machine();
        Address frontEnd = nodeSettings.need("bind-addresses.front-end", nodeSettings.frontEnd());
        Address readiness = nodeSettings.need("bind-addresses.readiness", nodeSettings.readiness());
        if (nodeSettings.innerLow() == 0) {
            nodeSettings.need("internal-port-range", null);
        }
        machine.loop().execute(() -> {
            EdgeProgram program = new EdgeProgram(nodeSettings, machine, life, System::exit);
            program.open(frontEnd, readiness);
            ProcessSignals.registerProgram(program.new Signalled());
        });
    }

    private final class Signalled implements ProcessSignals.Program {
        @Override
        public void terminate() {
            machine.loop().execute(EdgeProgram.this::leave);
        }

        @Override
        public void reload() {
            machine.loop().execute(EdgeProgram.this::reread);
        }
    }

    void open(Address frontEnd, Address readiness) {
        front.open(frontEnd).addListener(done -> opened("front-end", frontEnd, done.cause()));
        new Readiness(machine, this::ready)
                .open(readiness)
                .addListener(done -> opened("readiness", readiness, done.cause()));
        machine.loop().scheduleWithFixedDelay(this::tick, TICK, TICK, TimeUnit.MILLISECONDS);
        LOG.info("started")
                .with("node", self.name())
                .with("zone", self.zone())
                .with("life", Long.toHexString(self.incarnation()))
                .log();
    }

    private void opened(String what, Address at, Throwable cause) {
        if (cause != null) {
            LOG.warn("cannot listen")
                    .with("field", "bind-addresses." + what)
                    .with("address", at)
                    .with("why", cause)
                    .log();
            exit.accept(2);
        }
    }

    /** The configuration that requests are served by. */
    Configuration configuration() {
        return configuration;
    }

    boolean ready() {
        return !leaving && configuration != Configuration.NONE && roster.find(self.name()) != null;
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private void tick() {
        try {
            long now = now();
            coordinatorClient.tick(now);
            subscriber.tick(now);
            watch.tick(now);
            if (hallAt == Long.MAX_VALUE || now - hallAt > 200) {
                // Guards against a call that failed, and said no next time.
                hallAt = Long.MAX_VALUE;
                hallDue(now);
            }
            if (now - figuresAt > FIGURES) {
                figuresAt = now;
                LogEventBuilder line = LOG.info("figures")
                        .with("waiting", slotClient.waiting())
                        .with("held", slotClient.held())
                        .with("seats", localAdmission.seats())
                        .with("revision", configuration.revision())
                        .with("connections", front.connections());
                counters.forEachNonZero(line::with);
                line.log();
            }
        } catch (RuntimeException e) {
            LOG.warn("tick failed")
                    .with("why", e)
                    .with("at", e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "")
                    .log();
        }
    }

    /** The seats are called when they have asked to be, and no oftener. */
    private void hallDue(long at) {
        if (at < hallAt) {
            hallAt = at;
            machine.loop().schedule(() -> hallCall(at), Math.max(1, at - now()), TimeUnit.MILLISECONDS);
        }
    }

    private void hallCall(long at) {
        if (at == hallAt) {
            hallAt = Long.MAX_VALUE;
            localAdmission.tick();
        }
    }

    void reread() {
        try {
            coordinatorClient.members(members(nodeSettings.reread()));
            LOG.info("settings read again").log();
        } catch (SettingsException fault) {
            LOG.warn("settings not used")
                    .with("code", fault.code())
                    .with("why", fault.getMessage())
                    .log();
        }
    }

    /** Says so first, serves on until clients have been sent elsewhere, then ends with nothing under way. */
    void leave() {
        if (leaving) {
            return;
        }
        leaving = true;
        long grace = (long) (nodeSettings.bounds().graceS() * 1_000);
        LOG.info("leaving")
                .with("grace-ms", grace)
                .with("in-flight", flow.inFlight())
                .log();
        shutdown.begin(grace);
        self = self.asLeaving();
        watch.updateSelf(self, configuration.revision());
        coordinatorClient.say(new EdgeHello(
                self, roster.term(), roster.number(), configuration.revision(), coordinatorClient.term()));
    }

    // ---- News -----------------------------------------------------------------------------------
    private final class SubscriberOut implements ConfigurationSubscriber.Actions {
        @Override
        public void sendRequest(DeltaRequest fetch) {
            coordinatorClient.say(fetch);
        }

        @Override
        public void onConfiguration(Configuration next, int bytes, long ms) {
            long before = configuration.revision();
            configuration = next;
            watch.updateSelf(self, configuration.revision());
            localAdmission.configuration(configuration);
            LOG.info("configuration")
                    .with("revision", configuration.revision())
                    .with("before", before)
                    .with("routes", configuration.routes().size())
                    .with("bytes", bytes)
                    .with("ms", ms)
                    .log();
        }

        @Override
        public void onRejected(ConfigurationException fault) {
            LOG.warn("configuration not taken")
                    .with("revision", configuration.revision())
                    .with("code", fault.code())
                    .with("why", fault.getMessage())
                    .log();
        }
    }

    private void take(Roster next) {
        if (!next.isNewerThan(roster)) {
            return;
        }
        List<String> gone = new ArrayList<>();
        for (Peer peer : roster.peers()) {
            Peer now = next.find(peer.name());
            if (now == null || now.incarnation() != peer.incarnation()) {
                gone.add(peer.name());
            }
        }
        roster = next;
        homes = new HomeAssignment(next);
        edgeLinks.roster(next);
        localAdmission.roster(homes, gone);
        slotClient.roster(homes);
        watch.updateRing(new WatchRing(next), now());
        LOG.info("roster")
                .with("term", next.term())
                .with("number", next.number())
                .with("peers", next.peers().size())
                .with("gone", gone)
                .log();
        if (!next.contains(self)) {
            coordinatorClient.say(new EdgeHello(
                    self, roster.term(), roster.number(), configuration.revision(), coordinatorClient.term()));
        }
    }

    private final class HubEar implements CoordinatorClient.Ear {
        @Override
        public Object hello() {
            return new EdgeHello(
                    self, roster.term(), roster.number(), configuration.revision(), coordinatorClient.term());
        }

        @Override
        public Roster roster() {
            return roster;
        }

        @Override
        public void roster(Roster next) {
            take(next);
        }

        @Override
        public void newest(long revision) {
            subscriber.onNewestRevision(revision, now());
        }

        @Override
        public void chunk(DeltaChunk chunk) {
            subscriber.onChunk(chunk, now());
        }

        @Override
        public void heard(Object frame) {
            localAdmission.heard(frame);
        }

        @Override
        public void attached(long term) {
            watch.onCoordinatorConnected();
            coordinatorClient.say(localAdmission.mine());
            subscriber.onLinkUp(now());
        }
    }

    private final class Peers implements EdgeLinks.Ear {
        @Override
        public void heard(String peer, Object frame) {
            if (frame instanceof SlotRequest ask) {
                localAdmission.ask(ask, false);
            } else if (frame instanceof SlotRelease done) {
                localAdmission.done(peer, done);
            } else if (frame instanceof SlotGrant grant) {
                slotClient.granted(peer, grant);
            } else if (frame instanceof SlotRefusal refuse) {
                slotClient.refused(peer, refuse);
            } else if (frame instanceof SlotRedirect elsewhere) {
                slotClient.elsewhere(peer, elsewhere);
            } else if (frame instanceof SlotRequestCancel forget) {
                localAdmission.forget(peer, forget);
            } else if (frame instanceof HeldSlots held) {
                localAdmission.held(held);
            } else if (frame instanceof Heartbeat beat) {
                watch.onHeartbeat(beat, now());
            }
        }

        @Override
        public void up(String peer) {
            slotClient.again(peer);
        }

        @Override
        public void down(String peer) {
            machine.loop().schedule(slotClient::reroute, 150, TimeUnit.MILLISECONDS);
        }
    }

    private final class WatchHands implements HeartbeatMonitor.Actions {
        @Override
        public void sendHeartbeat(Peer watcher, Heartbeat beat) {
            edgeLinks.say(watcher.name(), beat);
        }

        @Override
        public void reportSuspicion(SuspicionReport suspect) {
            coordinatorClient.say(suspect);
        }

        @Override
        public void withdrawSuspicion(SuspicionWithdrawal trust) {
            coordinatorClient.say(trust);
        }

        @Override
        public void onProcessPaused(long ms) {
            LOG.info("slept").with("ms", ms).log();
        }
    }

    private final class Spots implements SlotClient.Spots {
        @Override
        public void host(String address) {
            hostIps.put(address.substring(0, address.lastIndexOf(':')), Boolean.TRUE);
        }

        @Override
        public void heldHere(HeldSlots held) {
            localAdmission.held(held);
        }
    }

    private final class StewardWays implements SlotClient.Ways {
        @Override
        public String self() {
            return self.name();
        }

        @Override
        public String zone() {
            return self.zone();
        }

        @Override
        public void here(SlotRequest ask, boolean stay) {
            localAdmission.ask(ask, stay);
        }

        @Override
        public void doneHere(SlotRelease done) {
            localAdmission.done(self.name(), done);
        }

        @Override
        public void forgetHere(SlotRequestCancel forget) {
            localAdmission.forget(self.name(), forget);
        }

        @Override
        public boolean say(String edge, Object frame) {
            return edgeLinks.say(edge, frame);
        }

        @Override
        public boolean shunned(String edge) {
            return edgeLinks.shunned(edge);
        }
    }

    private final class HallWays implements LocalAdmission.Ways {
        @Override
        public void grant(String edge, SlotGrant grant) {
            if (edge.equals(self.name())) {
                slotClient.granted(edge, grant);
            } else {
                edgeLinks.answer(edge, grant);
            }
        }

        @Override
        public void refuse(String edge, SlotRefusal refuse) {
            if (edge.equals(self.name())) {
                slotClient.refused(edge, refuse);
            } else {
                edgeLinks.answer(edge, refuse);
            }
        }

        @Override
        public void elsewhere(String edge, SlotRedirect elsewhere) {
            if (edge.equals(self.name())) {
                slotClient.elsewhere(edge, elsewhere);
            } else {
                edgeLinks.answer(edge, elsewhere);
            }
        }

        @Override
        public void due(long at) {
            hallDue(at);
        }

        @Override
        public void hub(Object frame) {
            coordinatorClient.say(frame);
        }

        @Override
        public void knock(String service, String host, String address) {
            lines.knock(host, address, ok -> localAdmission.knocked(host, ok));
        }
    }
}
