package brambletray.platform.controlplane;

import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.distribution.ConfigurationPublisher;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.ProcessSignals;
import brambletray.platform.election.ElectionMessage;
import brambletray.platform.election.LeaseElection;
import brambletray.platform.election.LeaseTimings;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.logging.EventLog;
import brambletray.platform.replication.DurableState;
import brambletray.platform.replication.FaultTolerance;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.MemberRemovalOutcome;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.Replica;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.ReplicationActions;
import brambletray.platform.replication.ReplicationMessage;
import brambletray.platform.replication.ReplicationSettings;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.settings.SettingsException;
import brambletray.platform.storage.DurableStore;
import brambletray.platform.storage.KeyChange;
import brambletray.platform.storage.KeyValueStore;
import brambletray.platform.storage.StorageException;
import brambletray.platform.storage.SyncWriter;
import brambletray.platform.transport.FrameCodec;
import brambletray.platform.transport.Link;
import brambletray.platform.transport.Sockets;
import brambletray.runtime.Machine;
import io.netty.channel.ChannelFuture;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The program of the core: puts the planes together, and decides nothing. For the loop only, once {@link #begin} has
 * run.
 */
public final class ControlPlaneProgram {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** ms between ticks, each of which costs a wake-up. */
    private static final int TICK = 50;
    /** ms until a disk that could not be opened is tried again. */
    private static final int DISK_AGAIN = 200;
    /** ms that a process stays at least after it was told to end, so that the others hear that the helm is free. */
    private static final int STAY = 300;
    /** ms that its last answers are given to go out. */
    private static final int LAST_WORDS = 100;

    private static final String COORDINATOR = "helm";

    private final NodeSettings nodeSettings;
    private final Machine machine;
    private final FrameCodec speech = new FrameCodec(FrameTypes.ALL);
    private final String address;
    private final DurableStore store;
    private final Runnable exit;
    private final OperatorCalls operators;
    private final Replica members;
    private final PeerLinks peerLinks;
    private final LeaseElection election;
    private final OperatorViews views;
    private final EdgeGreeter edges = new EdgeGreeter(this::welcome);
    /**
     * Kept by each member, whether it holds the helm or not: the next holder goes on with differences from what edges
     * have.
     */
    private final ChangeHistory history = new ChangeHistory();

    private final ConfigurationPublisher publisher = new ConfigurationPublisher(history);
    private EdgeCoordinator hub;
    /** Steady ms since when this process is to end, and since when the others go on without it; -1: not so. */
    private long leavingAt = -1;

    private long leftAt = -1;
    /** The term of the helm that is held here, 0 for none. */
    private long held;

    /**
     * What a process of the core runs on. Real, or simulated with the same contract.
     *
     * @param kept what the disk held at the start
     * @param store writes to that disk; replies come on the machine's loop
     * @param exit ends the process; may return, and nothing of it counts from then on
     */
    record Environment(Machine machine, Map<String, byte[]> kept, DurableStore store, Runnable exit) {}

    /** On the loop; {@link #start} follows. {@code life}, {@code origin}: drawn at random, not 0. */
    ControlPlaneProgram(NodeSettings nodeSettings, Environment environment, long life, long origin) {
        this.nodeSettings = nodeSettings;
        machine = environment.machine();
        store = environment.store();
        exit = environment.exit();
        Map<String, byte[]> kept = environment.kept();
        address = nodeSettings.control().toString();
        operators = new OperatorCalls(new MemberOrder(), this::creedChanged);
        peerLinks = new PeerLinks(
                machine,
                speech,
                new Address(nodeSettings.ip(), nodeSettings.innerLow()),
                new LinkIntroduction(nodeSettings.node(), address, true),
                new KinEar());
        members = new Replica(
                address,
                nodeSettings.node(),
                nodeSettings.zone(),
                life,
                origin,
                DurableState.read(kept),
                seeds(nodeSettings),
                nodeSettings.initialStart(),
                settings(nodeSettings),
                new MemberOut(),
                operators,
                now());
        election = new LeaseElection(
                COORDINATOR,
                members.status().self(),
                kept.get(LeaseElection.key(COORDINATOR)),
                LeaseTimings.defaults(),
                new VowOut(),
                now());
        views = new OperatorViews(new StatusSources(
                members::status,
                members::zonesHoldingHalf,
                () -> operators.stateMachine().configuration(),
                () -> election.holder(now()),
                () -> hub != null && mayAct() ? hub : null,
                this::now));
    }

    private static ReplicationSettings settings(NodeSettings nodeSettings) {
        FaultTolerance borne = new FaultTolerance(
                nodeSettings.machineLosses(),
                nodeSettings.zoneLosses(),
                nodeSettings.regionLosses(),
                nodeSettings.zones());
        return ReplicationSettings.defaults(borne, leaveMs(nodeSettings));
    }

    /** How long a process that is told to end stays at most, ms: grace-s less a margin, in which it ends by itself. */
    private static int leaveMs(NodeSettings nodeSettings) {
        int grace = (int) (nodeSettings.bounds().graceS() * 1_000);
        return Math.max(grace / 2, grace - 1_000);
    }

    private static List<String> seeds(NodeSettings nodeSettings) {
        List<String> seeds = new ArrayList<>();
        nodeSettings.seeds().forEach(seed -> seeds.add(seed.toString()));
        return seeds;
    }

    /**
     * Runs until it is told to end. {@code life}, {@code origin}: drawn at random. Throws {@link StorageException}
     * where the
     * disk cannot be used.
     */
    public static void begin(NodeSettings nodeSettings, long life, long origin) throws InterruptedException {
        Machine machine = Sockets.machine();
        Address control = nodeSettings.need("bind-addresses.control-plane", nodeSettings.control());
        KeyValueStore keyValueStore = open(nodeSettings.need("data-dir", nodeSettings.dataDir()));
        Map<String, byte[]> kept = new HashMap<>();
        for (Map.Entry<String, byte[]> one : keyValueStore.prefix("")) {
            kept.put(one.getKey(), one.getValue());
        }
        Environment real =
                new Environment(machine, kept, new SyncWriter(keyValueStore, machine.loop()), () -> System.exit(0));
        ControlPlaneProgram[] made = new ControlPlaneProgram[1];
        machine.loop()
                .submit(() -> {
                    made[0] = new ControlPlaneProgram(nodeSettings, real, life, origin);
                    made[0].start();
                    ProcessSignals.heardBy(made[0].new Signalled());
                })
                .sync();
        made[0].open().sync();
        LOG.tell("started", "node", nodeSettings.node(), "control", control, "kept", kept.size());
    }

    /** Ticks from now on; on the loop. */
    void start() {
        machine.loop().scheduleWithFixedDelay(this::tick, TICK, TICK, TimeUnit.MILLISECONDS);
    }

    /** Listens at the control-plane address; the future fails with what the system says where it cannot. */
    ChannelFuture open() {
        Dispatch<ControlPlaneServer.Desk> table = new Dispatch<>();
        operators.register(table);
        views.register(table);
        new MemberOrders(this::declareDead).register(table);
        return new ControlPlaneServer(table).open(machine, nodeSettings.control());
    }

    private void declareDead(String address, long life, Consumer<MemberRemovalOutcome> then) {
        members.removeMember(address, life, now(), result -> machine.loop().execute(() -> then.accept(result)));
    }

    /**
     * The disk, for as long as it takes: one that refuses is tried again, one that holds no whole store counts as lost,
     * and its life with it.
     */
    private static KeyValueStore open(Path dir) throws InterruptedException {
        for (; ; ) {
            try {
                return KeyValueStore.open(dir);
            } catch (StorageException fault) {
                LOG.warn("disk not opened", "code", fault.code(), "why", fault.getMessage());
                if (fault.code().equals("storage.broken")) {
                    KeyValueStore.abandon(dir);
                } else if (fault.code().equals("storage.format")) {
                    throw fault;
                } else {
                    TimeUnit.MILLISECONDS.sleep(DISK_AGAIN);
                }
            }
        }
    }

    private long now() {
        return machine.clock().nanos() / 1_000_000;
    }

    private void tick() {
        try {
            long now = now();
            members.tick(now);
            operators.tick(now);
            peerLinks.tick(now);
            election.updateView(members.status(), now);
            election.tick(now);
            views.tick();
            takeUp();
            if (hub != null) {
                hub.tick(now);
            }
            edges.tick(now);
            if (leavingAt >= 0) {
                depart(now);
            }
        } catch (RuntimeException e) {
            LOG.warn("tick failed", "why", e, "at", e.getStackTrace().length > 0 ? e.getStackTrace()[0] : "");
        }
    }

    /**
     * There is a hub for the term that is held, and for no other; one that was won but may not act yet is taken up at a
     * later tick.
     */
    private void takeUp() {
        long now = now();
        if (hub != null && hub.term() != held) {
            hub.end();
            hub = null;
        }
        if (hub == null && held != 0 && election.mayAct(now)) {
            hub = new EdgeCoordinator(
                    machine,
                    nodeSettings,
                    held,
                    () -> operators.stateMachine().configuration(),
                    publisher,
                    new HubAuthority(),
                    now);
            edges.hub(hub, now);
        }
    }

    /** Where this member stands. */
    ReplicaStatus status() {
        return members.status();
    }

    /** Whether it holds the helm, and may act by it now. */
    boolean mayAct() {
        return election.mayAct(now());
    }

    /** Where edges reach a member of the core. */
    private String inner(Member member) {
        return new Address(Address.parse(member.address()).host(), nodeSettings.innerLow()).toString();
    }

    private EdgeWelcome welcome() {
        long hubTerm = hub == null ? 0 : hub.term();
        return EdgeGreeter.welcome(
                members.status(),
                election.holder(now()),
                hubTerm,
                hub == null ? Roster.NONE : hub.newest(),
                this::inner);
    }

    private void creedChanged() {
        Configuration configuration = operators.stateMachine().configuration();
        history.become(configuration);
        LOG.tell(
                "configuration",
                "revision",
                configuration.revision(),
                "routes",
                configuration.routes().size(),
                "services",
                configuration.services().size());
        if (hub != null) {
            hub.configuration(now());
        }
    }

    private void reread() {
        try {
            NodeSettings now = nodeSettings.reread();
            members.updateSettings(settings(now), seeds(now));
            LOG.tell("settings read again");
        } catch (SettingsException fault) {
            LOG.warn("settings not used", "code", fault.code(), "why", fault.getMessage());
        }
    }

    /** SIGTERM; a second one changes nothing. */
    void leave() {
        if (leavingAt >= 0) {
            return;
        }
        leavingAt = now();
        LOG.tell("leaving");
        int most = leaveMs(nodeSettings);
        machine.loop().schedule(exit, most + Math.min(500, most / 10), TimeUnit.MILLISECONDS);
        election.handOver(leavingAt);
        members.leave(leavingAt);
    }

    /** Ends the process once the others go on without it and the calls under way have their answers. */
    private void depart(long now) {
        if (leftAt < 0 && members.mayTerminate()) {
            leftAt = now;
        }
        boolean still = leftAt < 0 || !operators.idle();
        if (!still && now - leftAt >= LAST_WORDS && now - leavingAt >= STAY) {
            LOG.tell("left", "ms", now - leavingAt);
            exit.run();
        }
    }

    private final class Signalled implements ProcessSignals.Program {
        @Override
        public void terminate() {
            machine.loop().execute(ControlPlaneProgram.this::leave);
        }

        @Override
        public void reload() {
            machine.loop().execute(ControlPlaneProgram.this::reread);
        }
    }

    private final class MemberOrder implements OperatorCalls.Order {
        @Override
        public ReplicaStatus status() {
            return members.status();
        }

        @Override
        public String successor() {
            return members.successor();
        }

        @Override
        public void propose(long token, byte[] change) {
            machine.loop().execute(() -> members.propose(token, change, now()));
        }

        @Override
        public void confirm(long token) {
            machine.loop().execute(() -> members.requestReadIndex(token, now()));
        }
    }

    /** Keeps changes durably; one of the two follows, on the loop. */
    private void keep(Map<String, byte[]> changes, Runnable done, Runnable failed) {
        List<KeyChange> all = new ArrayList<>(changes.size());
        changes.forEach((key, value) -> all.add(new KeyChange(key, value)));
        boolean taken = store.commit(all, now(), new DurableStore.Reply() {
            @Override
            public void done() {
                done.run();
            }

            @Override
            public void failed(StorageException fault) {
                failed.run();
            }
        });
        if (!taken) {
            machine.loop().execute(failed);
        }
    }

    private final class VowOut implements brambletray.platform.election.ElectionActions {
        @Override
        public void send(String to, ElectionMessage frame) {
            peerLinks.say(to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            keep(changes, () -> election.synced(ticket, now()), () -> election.syncFailed(ticket, now()));
        }

        @Override
        public void won(long term) {
            held = term;
            machine.loop().execute(ControlPlaneProgram.this::takeUp);
        }

        @Override
        public void lost(long term) {
            held = 0;
            machine.loop().execute(ControlPlaneProgram.this::takeUp);
        }

        @Override
        public void tell(String event, Object... facts) {
            LOG.tell(event, facts);
        }
    }

    private final class MemberOut implements ReplicationActions {
        @Override
        public void send(String to, ReplicationMessage frame) {
            peerLinks.say(to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            keep(changes, () -> members.synced(ticket, now()), () -> members.syncFailed(ticket, now()));
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            machine.loop().execute(() -> operators.outcome(token, outcome));
        }

        @Override
        public void readIndexCompleted(long token, boolean yes) {
            machine.loop().execute(() -> operators.confirmed(token, yes));
        }

        @Override
        public void statusChanged() {
            machine.loop().execute(operators::changed);
        }

        @Override
        public void tell(String event, Object... facts) {
            LOG.tell(event, facts);
        }

        @Override
        public void warn(String event, Object... facts) {
            LOG.warn(event, facts);
        }
    }

    private final class HubAuthority implements EdgeCoordinator.Authority {
        @Override
        public boolean mayAct() {
            return ControlPlaneProgram.this.mayAct();
        }

        @Override
        public boolean applied() {
            return members.status().settled();
        }

        @Override
        public EdgeWelcome welcome() {
            return ControlPlaneProgram.this.welcome();
        }

        @Override
        public void fenced(long term) {
            election.revalidate(term + 1, now());
        }
    }

    private final class KinEar implements PeerLinks.Ear {
        @Override
        public void member(String from, Object frame) {
            if (frame instanceof ElectionMessage) {
                election.receive(from, frame, now());
            } else {
                members.receive(from, frame, now());
            }
        }

        @Override
        public void gone(String who) {
            members.onDisconnected(who, now());
        }

        @Override
        public void edge(String name, Link link) {
            edges.came(name, link);
        }

        @Override
        public void edge(String name, Link link, Object frame) {
            if (frame instanceof EdgeHello hello) {
                election.revalidate(hello.term(), now());
                edges.hello(link, hello);
            }
            if (hub != null) {
                hub.heard(name, link, frame, now());
            }
        }

        @Override
        public void edgeGone(String name, Link link) {
            edges.gone(link);
            if (hub != null) {
                hub.parted(name, link, now());
            }
        }
    }
}
