package brambletray.relay.serve;

import brambletray.common.runtime.Machine;
import brambletray.relay.admission.QuotaDoor;
import brambletray.relay.console.CommandResponse;
import brambletray.relay.console.Console;
import brambletray.relay.console.Operations;
import brambletray.relay.console.Statsd;
import brambletray.relay.control.Relay;
import brambletray.relay.core.AdmissionGate;
import brambletray.relay.core.CompletionListener;
import brambletray.relay.core.DescriptorBudget;
import brambletray.relay.core.EventDispatcher;
import brambletray.relay.core.HandoverState;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostTransport;
import brambletray.relay.core.MessageReceiver;
import brambletray.relay.core.Platform;
import brambletray.relay.core.RemoteCalls;
import brambletray.relay.core.SubmissionResult;
import brambletray.relay.core.Successor;
import brambletray.relay.handover.HandoverActions;
import brambletray.relay.handover.ProcessHandover;
import brambletray.relay.http.clients.Server;
import brambletray.relay.http.hosts.HostPool;
import brambletray.relay.journal.ExcludedHostsJournal;
import brambletray.relay.journal.Journal;
import brambletray.relay.journal.JournalClock;
import brambletray.relay.membership.Discovery;
import brambletray.relay.membership.HostList;
import brambletray.relay.message.Message;
import brambletray.relay.metrics.MessageMetrics;
import brambletray.relay.mqtt.clients.MqttFront;
import brambletray.relay.operations.Drain;
import brambletray.relay.store.Disk;
import brambletray.relay.store.FolderInUse;
import brambletray.relay.store.Store;
import brambletray.relay.wire.Wire;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One relay on one machine: its parts put together, its orderly and its abrupt end. It has no thread of its
 * own; all of it runs on the machine's event loop, and all methods are called there.
 */
public final class RelayInstance {
    private static final Logger LOG = LoggerFactory.getLogger(RelayInstance.class);
    /**
     * ms from SIGTERM: clients are served on for the first, all is over by the second (SIGKILL may come at
     * 3.7 s).
     */
    private static final long SERVE_ON = 600;

    private static final long LEAVE_BY = 3_300;
    /** ms from SIGTERM, where a successor serves: clients that stayed are cut, calls cancelled. */
    private static final long CUT_AT = 2_700;

    private static final long CANCEL_AT = 3_000;
    /** ms; between looks whether all that is held has ended. */
    private static final long LOOK = 20;
    /** Bytes of the folder that the file of the hand-over takes, while it is made anew too. */
    private static final long MEETING = 1_024;

    private final Machine machine;
    private final Config config;
    private final Disk disk;
    private final Surroundings surroundings;
    private final HostList hosts;
    private final MessageMetrics figures;
    private final HostTransport pool;
    private final Drain drain = new Drain();
    private final GracefulShutdown draining;
    private final Server server;
    /** Of the platform's agent, where that is what this relay runs under and may hand over to another. */
    private final Discovery discovery;

    private final ProcessHandover succession;
    private final Promise<Void> serving;
    private final Relay.EndpointsListed known;
    private ChannelFuture bound;
    private ChannelFuture mqttBound;
    private ChannelFuture consoleBound;
    private MqttFront mqtt;
    private QuotaDoor door;
    /** While this process owns the folder; after it was handed on, the loop of what is still out. */
    private Journal journal;

    private EventDispatcher loop;
    private OperatorActions operator;
    private int avoidedByOwner;
    private Runnable whenLeft = () -> {};
    private Consumer<String> whenOver = fault -> {};
    private long leaveBy;

    /** What a relay runs under: where its list of hosts comes from, and where the ends of messages go. */
    public interface Surroundings {
        Platform platform(Machine machine, HostList hosts, EventDispatcher loop, Store store);

        /** Who is told the ends of messages; {@code mqtt}: who tells clients by MQTT, null without them. */
        default CompletionListener ends(Machine machine, EventDispatcher loop, Store store, CompletionListener mqtt) {
            return mqtt;
        }

        /** Before the folder is owned and what it holds believed; throws where it must not be. */
        default void beforeOwning(Machine machine, Journal journal) throws IOException {}

        /** Who lets messages in; {@code inner}: who would without these surroundings. */
        default AdmissionGate door(AdmissionGate inner) {
            return inner;
        }

        /** SIGHUP has come, or its like; on the loop. */
        default void hangup() {}

        /** How a message ended, as JSON, by id; null where clients can't ask. */
        default Function<String, String> answers() {
            return null;
        }
    }

    /** Takes up what the journal holds, and begins to listen. The instance closes the journal at its end. */
    public RelayInstance(Machine machine, Config config, Journal journal) throws Wire.Malformed {
        this(
                machine,
                config,
                journal,
                (on, hosts, loop, store) ->
                        new Discovery(on, config.discovery(), hosts, loop::onListed, loop::onNoticeAcknowledged));
    }

    /** The same, without the platform's agent. */
    public RelayInstance(Machine machine, Config config, Journal journal, Surroundings surroundings)
            throws Wire.Malformed {
        this(machine, config, null, surroundings, true);
        this.journal = journal;
        takeUp(null, null);
        listen(() -> {});
        if (config.console() != null) {
            consoleBound = new Console(machine, operator).listen(config.console());
        }
    }

    /**
     * One that may follow another process on its folder, and be followed by one: {@link #handsOver} says
     * for which configurations. It serves once {@link #serving} is done.
     */
    public RelayInstance(Machine machine, Config config, Disk disk) throws Wire.Malformed {
        this(machine, config, disk, null, false);
        consoleBound = new Console(machine, new AnyOperator(), new Console.Upgrade() {
                    @Override
                    public boolean allows(String secret) {
                        return succession.knows(secret);
                    }

                    @Override
                    public void upgraded(Channel channel) {
                        succession.accept(channel);
                    }
                })
                .listen(config.console());
        consoleBound.addListener(done -> {
            if (done.isSuccess()) {
                try {
                    succession.begin();
                } catch (RuntimeException e) {
                    // Guards the start against waiting for ever: nobody else hears of it.
                    serving.tryFailure(e);
                }
            } else {
                serving.tryFailure(new IOException(
                        "console " + config.console() + ": " + done.cause().getMessage()));
            }
        });
    }

    private RelayInstance(Machine machine, Config config, Disk disk, Surroundings surroundings, boolean alone)
            throws Wire.Malformed {
        this.machine = machine;
        this.config = config;
        this.disk = disk;
        this.surroundings = surroundings;
        this.serving = machine.loop().newPromise();
        hosts = new HostList(
                config.zones(), config.kinds(), config.mqtt() != null ? MqttTransports.protocols() : Set.of("http"));
        figures = new MessageMetrics(config.settings().classes().stream()
                .map(Relay.MessageClass::name)
                .toList());
        DescriptorBudget descriptors = new DescriptorBudget(config.sockets());
        HostPool http = new HostPool(
                machine,
                config.settings().allowed().connectTimeout(),
                config.settings().allowed().keepAlive(),
                figures::written,
                descriptors);
        HostTransport ways = config.mqtt() != null
                ? MqttTransports.beside(http, machine, config.settings(), figures::written)
                : http;
        draining = new GracefulShutdown(machine, drain, new Fronts());
        succession = alone ? null : new ProcessHandover(machine, new Parts(), disk, config.settings());
        pool = alone ? ways : new FailoverCalls(ways, succession);
        server = new Server(
                alone ? new OwnIntake() : new AnyIntake(),
                machine,
                descriptors.share(DescriptorBudget.Owner.CLIENTS),
                drain);
        if (config.known().values().isEmpty()) {
            known = null;
        } else {
            known = hosts.update(config.known());
        }
        discovery = alone ? null : new Discovery(machine, config.discovery(), hosts, this::listed, this::noticed);
    }

    /** True where a process may take another's place: clients and hosts speak HTTP, there are no quotas. */
    static boolean handsOver(Config config) {
        return config.console() != null && config.mqtt() == null && config.quotas() == null;
    }

    // ---- The part that owns -----------------------------------------------------------------------
    /** Takes up the journal; {@code from}: null where nothing was handed on. */
    private void takeUp(HandoverState from, RemoteCalls afar) {
        JournalClock.goOn(journal.store(), machine.clock());
        loop = from == null
                ? new EventDispatcher(machine, config.seed(), config.settings(), hosts, pool, journal, figures)
                : new EventDispatcher(machine, config.seed(), config.settings(), hosts, pool, journal, figures, from);
        Platform platform =
                discovery != null ? discovery : surroundings.platform(machine, hosts, loop, journal.store());
        if (mqtt == null && config.mqtt() != null) {
            mqtt = new MqttFront(machine, config.mqtt(), loop, journal.store());
        }
        if (config.quotas() != null) {
            door = QuotaAdmission.door(machine, config.quotas(), config.settings(), journal.store());
            loop.admissionGate(door);
            server.view("/v1/quotas", door::view);
        }
        if (surroundings != null) {
            loop.admissionGate(surroundings.door(door == null ? AdmissionGate.ALWAYS_OPEN : door));
            CompletionListener ends =
                    surroundings.ends(machine, loop, journal.store(), mqtt == null ? null : mqtt.ends());
            if (ends != null) {
                loop.completionListener(ends);
            }
            server.answers(surroundings.answers());
        }
        operator = new OperatorActions(loop, hosts, figures, hostsOut(journal), draining);
        if (from != null) {
            loop.resume(platform, hosts.whole(), from, afar);
        } else {
            loop.start(platform, disk != null ? hosts.whole() : known);
        }
    }

    private static ExcludedHostsJournal hostsOut(Journal journal) {
        try {
            return new ExcludedHostsJournal(journal.store());
        } catch (IOException e) {
            throw new UncheckedIOException("hosts out of use cannot be read", e);
        }
    }

    private void listen(Runnable whenListening) {
        bound = (disk == null ? machine.listening(server) : machine.sharing(server)).bind(config.listen());
        bound.addListener(done -> {
            if (done.isSuccess()) {
                whenListening.run();
                serving.trySuccess(null);
            } else {
                serving.tryFailure(done.cause());
            }
        });
        mqttBound = mqtt == null ? null : mqtt.listen();
    }

    private void listed(Relay.EndpointsListed list) {
        if (owns()) {
            loop.onListed(list);
        }
    }

    private void noticed(Journal.Entry entry) {
        if (owns()) {
            loop.onNoticeAcknowledged(entry);
        }
    }

    int clients() {
        return server.connections();
    }

    /** True where this process owns the folder, and decides. */
    boolean owns() {
        return succession == null || succession.owns();
    }

    /** Done once clients can be served; failed where they never will. */
    public Promise<Void> serving() {
        return serving;
    }

    /** Told once that this process takes no further part, and what is wrong; null: all is well. */
    public void whenOver(Consumer<String> told) {
        whenOver = told;
    }

    /** Done once MQTT clients can connect; null for a relay that speaks no MQTT. */
    public ChannelFuture mqttBound() {
        return mqttBound;
    }

    /** Done once it listens; its channel's local address is where clients connect. */
    public ChannelFuture bound() {
        return bound;
    }

    /** Done once operators can connect; null for a relay without their address. */
    public ChannelFuture consoleBound() {
        return consoleBound;
    }

    /** The file of quotas is read anew; one of no use changes nothing. */
    public void reloadQuotas() {
        if (door != null) {
            door.reload(config.quotas());
        }
    }

    /** Messages that it holds. */
    int held() {
        return (int) figures.inFlight();
    }

    /** What loop, module and journal do not agree on, between turns; null where they do. */
    public String disagreement() {
        return owns() && loop != null ? loop.findInconsistency() : null;
    }

    /** True when nothing is owed any more. */
    public boolean idle() {
        return loop != null && loop.isIdle();
    }

    /** Discovery is at another address from now on. */
    public void discoveryAt(InetSocketAddress agent) {
        if (discovery != null) {
            discovery.onAgentAddressChanged(agent);
        } else {
            loop.onAgentAddressChanged(agent);
        }
    }

    // ---- Ends -------------------------------------------------------------------------------------
    /**
     * The orderly end. Where a successor is beside, it gets all that is held, and clients are sent to it.
     * Else connections are served until clients have turned away, then what is held is worked off; what is
     * left stays in the journal, as it does when the process is killed.
     */
    public void leave(Runnable then) {
        whenLeft = then;
        leaveBy = machine.clock().nanos() + TimeUnit.MILLISECONDS.toNanos(LEAVE_BY);
        if (succession == null) {
            leaveAlone();
        } else {
            succession.leave();
        }
    }

    private void leaveAlone() {
        drain.leave();
        machine.loop()
                .schedule(
                        () -> {
                            Machine.close(bound.channel());
                            server.closeClients();
                            if (mqtt != null) {
                                mqttBound.channel().close();
                                mqtt.closeClients();
                            }
                            workOff();
                        },
                        SERVE_ON,
                        TimeUnit.MILLISECONDS);
    }

    private void workOff() {
        if (loop.isIdle() || machine.clock().nanos() >= leaveBy) {
            stop();
            whenLeft.run();
        } else {
            machine.loop().schedule(this::workOff, LOOK, TimeUnit.MILLISECONDS);
        }
    }

    /** A successor serves: what is open here is served to its end, and nothing new begins. */
    private void serveOut() {
        drain.handOver();
        Machine.close(bound.channel());
        machine.loop().schedule(server::closeIdle, CUT_AT, TimeUnit.MILLISECONDS);
        machine.loop().schedule(loop::cancelAllCalls, CANCEL_AT, TimeUnit.MILLISECONDS);
        machine.loop().schedule(this::lookOut, LOOK, TimeUnit.MILLISECONDS);
    }

    private void lookOut() {
        if (owns()) {
            return;
        }
        if (server.connections() == 0 && loop.callsInFlight() == 0
                || machine.clock().nanos() >= leaveBy) {
            LOG.info("handed over, nothing is open here any more");
            whenLeft.run();
        } else {
            machine.loop().schedule(this::lookOut, LOOK, TimeUnit.MILLISECONDS);
        }
    }

    /** Its process has been killed: nothing of it runs any more, and only the file has to be let go. */
    public void abandon() throws IOException {
        if (journal != null) {
            journal.abandon();
        }
    }

    /** The abrupt end: nothing more is decided or written down; what is owed stays in the journal. */
    public void stop() {
        if (succession != null) {
            succession.stop();
        }
        if (loop != null) {
            loop.stop();
        }
        for (ChannelFuture listener : new ChannelFuture[] {bound, consoleBound, mqttBound}) {
            if (listener != null) {
                listener.channel().close();
            }
        }
        if (journal == null) {
            return;
        }
        try {
            journal.close();
        } catch (IOException e) {
            LOG.error("journal not closed", e);
        }
    }

    // ---- Parts as others see them -----------------------------------------------------------------
    /** What a drain does to clients' ways in. */
    private final class Fronts implements GracefulShutdown.Fronts {
        @Override
        public void drained(boolean away) {
            if (mqtt != null && away) {
                mqtt.closeClients();
            } else if (mqtt != null) {
                mqtt.welcome();
            }
            if (succession != null) {
                succession.drained(away);
            }
        }

        @Override
        public void closeIdle() {
            server.closeIdle();
        }
    }

    /** What clients may name, by the settings and the list; the loop knows the same. */
    private abstract class ByList implements MessageReceiver {
        @Override
        public boolean isRoutable(String messageClass, long destination) {
            return messageClass(messageClass) != null && hosts.hasDestination(destination);
        }

        @Override
        public Relay.MessageClass messageClass(String name) {
            for (Relay.MessageClass messageClass : config.settings().classes()) {
                if (messageClass.name().equals(name)) {
                    return messageClass;
                }
            }
            return null;
        }

        @Override
        public int tenant(String name) {
            int number = 0;
            for (Relay.Tenant tenant : config.settings().tenants()) {
                if (tenant.name().equals(name)) {
                    return number;
                }
                number++;
            }
            return number;
        }
    }

    /** Of a process that owns from its start to its end. */
    private final class OwnIntake extends ByList {
        @Override
        public void accept(Message message, SubmissionResult answer) {
            loop.accept(message, answer);
        }

        @Override
        public void withdraw(String id) {
            loop.withdraw(id);
        }
    }

    /** Of one that may not own: whoever does takes the message. */
    private final class AnyIntake extends ByList {
        @Override
        public void accept(Message message, SubmissionResult answer) {
            succession.accept(message, answer);
        }

        @Override
        public void withdraw(String id) {
            succession.withdraw(id);
        }
    }

    /** Operators' calls to a process that may not own. */
    private final class AnyOperator implements Operations {
        @Override
        public void ready(Consumer<CommandResponse> then) {
            boolean ready = serving.isSuccess() && succession.serves();
            then.accept(ready ? CommandResponse.yes(draining.told()) : new CommandResponse(503, "not ready"));
        }

        @Override
        public void figures(Consumer<CommandResponse> then) {
            if (owns() && operator != null) {
                operator.figures(then);
            } else {
                then.accept(CommandResponse.yes(Statsd.lines(figures, hosts.listedCount(), avoidedByOwner)));
            }
        }

        @Override
        public void exclude(String host, boolean out, Consumer<CommandResponse> then) {
            succession.exclude(host, out, then);
        }

        @Override
        public void drain(boolean away, Consumer<CommandResponse> then) {
            then.accept(away ? draining.standby() : draining.active());
        }
    }

    /** What the hand-over needs of this relay. */
    private final class Parts implements HandoverActions {
        private boolean watching;

        @Override
        public boolean open() throws IOException {
            try {
                journal = Journal.open(
                        disk,
                        config.diskBytes() - MEETING,
                        config.promise(),
                        config.settings().allowed().attempts());
                return true;
            } catch (FolderInUse folderInUse) {
                return false;
            }
        }

        @Override
        public void takeUp(HandoverState from, RemoteCalls afar) {
            RelayInstance.this.takeUp(from, afar);
            watching = true;
        }

        @Override
        public boolean fits(HandoverState from) {
            return from.isConsistentWith(journal, hosts);
        }

        @Override
        public void listen(Runnable whenListening) {
            if (!watching) {
                watching = true;
                discovery.watch();
            }
            RelayInstance.this.listen(whenListening);
        }

        @Override
        public HandoverState handOn(Successor to) {
            HandoverState handoff = loop.handOver(to);
            hosts.hosts().forEach(pool::closeIdle);
            Journal closing = journal;
            journal = null;
            try {
                closing.close();
            } catch (IOException e) {
                LOG.error("journal not closed", e);
            }
            return handoff;
        }

        @Override
        public void serveOut() {
            RelayInstance.this.serveOut();
        }

        @Override
        public void leave() {
            leaveAlone();
        }

        @Override
        public void end(String fault) {
            serving.tryFailure(new IOException(fault == null ? "told to end" : fault));
            if (bound == null) {
                whenLeft.run();
                whenOver.accept(fault);
                return;
            }
            // Clients that are connected here are served to the end of what they have asked.
            drain.handOver();
            Machine.close(bound.channel());
            machine.loop()
                    .schedule(
                            () -> {
                                server.closeClients();
                                whenLeft.run();
                                whenOver.accept(fault);
                            },
                            SERVE_ON,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public MessageReceiver intake() {
            return loop;
        }

        @Override
        public Operations operations() {
            return operator;
        }

        @Override
        public void cancelOut(String id, int attempt) {
            loop.cancelCall(id, attempt);
        }

        @Override
        public void cancelAllOut() {
            loop.cancelAllCalls();
        }

        @Override
        public void takeBackOut(String host) {
            loop.recallCalls(host == null ? null : hosts.hostNamed(host));
        }

        @Override
        public boolean drained() {
            return drain.drained();
        }

        @Override
        public void drained(boolean away) {
            if (away) {
                draining.standby();
            } else {
                draining.active();
            }
        }

        @Override
        public int avoided() {
            return loop.avoidedHosts();
        }

        @Override
        public void avoided(int byOwner) {
            avoidedByOwner = byOwner;
        }

        @Override
        public Host host(String name) {
            return hosts.hostNamed(name);
        }

        @Override
        public InetSocketAddress console() {
            return (InetSocketAddress) consoleBound.channel().localAddress();
        }
    }
}
