package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.KeyDigest;
import brambletray.platform.distribution.FrameTypes;
import brambletray.platform.distribution.LinkIntroduction;
import brambletray.platform.distribution.SettingsReload;
import brambletray.platform.election.ElectionActions;
import brambletray.platform.election.ElectionEvent;
import brambletray.platform.election.ElectionMessage;
import brambletray.platform.election.LeaseElection;
import brambletray.platform.election.LeaseHolder;
import brambletray.platform.election.LeaseTimings;
import brambletray.platform.logging.EventLog;
import brambletray.platform.operations.ClaimWindow;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.replication.DurableState;
import brambletray.platform.replication.MemberRemovalOutcome;
import brambletray.platform.replication.ProposalOutcome;
import brambletray.platform.replication.Replica;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.replication.ReplicationActions;
import brambletray.platform.replication.ReplicationEvent;
import brambletray.platform.replication.ReplicationMessage;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.transport.FrameCodec;
import io.netty.channel.ChannelFuture;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The program of a core machine: connects the packages to sockets and disk, and decides nothing. For the event loop
 * only.
 */
final class ControlPlaneProgram {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** ms between ticks, each of which costs a wake-up. */
    private static final int TICK_INTERVAL_MS = 50;

    private static final String COORDINATOR_ROLE = "helm";
    /** Proposals of operations bear tokens from here on, those of configurations lower ones. */
    private static final long FIRST_OPERATIONS_TOKEN = 1L << 62;

    private final NodeSettings nodeSettings;
    private final Machine machine;
    private final FrameCodec codec = new FrameCodec(FrameTypes.ALL);
    private final String address;
    private final StoreCommits storeCommits;
    private final OperatorCalls operatorCalls;
    private final OperationClaims operationClaims;
    private final Replica replica;
    private final PeerLinks peerLinks;
    private final LeaseElection election;
    private final OperatorViews operatorViews;
    private final OperationViews operationViews;
    private final CoordinatorSupervisor coordinatorSupervisor;
    private final MemberShutdown shutdown;

    /** On the event loop; {@link #start} follows. {@code newIncarnation}, {@code origin}: drawn at random, not 0. */
    ControlPlaneProgram(
            NodeSettings nodeSettings, ControlPlaneEnvironment environment, long newIncarnation, long origin) {
        this.nodeSettings = nodeSettings;
        machine = environment.machine();
        storeCommits = new StoreCommits(machine, environment.store());
        Map<String, byte[]> stored = environment.stored();
        address = nodeSettings.controlPlane().toString();
        operatorCalls = new OperatorCalls(new ReplicaAccess(), this::onConfigurationChanged);
        OperationRegistry operationRegistry = new OperationRegistry(origin, nowMs());
        operationClaims = operationClaims(operationRegistry);
        operationViews = new OperationViews(nodeSettings.node(), operationRegistry, operationClaims, this::nowMs);
        coordinatorSupervisor = new CoordinatorSupervisor(machine, nodeSettings, new MemberAccess(), operationClaims);
        peerLinks = new PeerLinks(
                machine,
                codec,
                new Address(nodeSettings.ip(), nodeSettings.internalPortLow()),
                new LinkIntroduction(nodeSettings.node(), address, true),
                new MemberEvents(),
                coordinatorSupervisor);
        replica = new Replica(
                ReplicaSettings.config(nodeSettings, newIncarnation, origin),
                DurableState.read(stored),
                new ReplicationOutput(),
                new CoreStateMachine(operatorCalls, operationRegistry, this::nowMs, operationClaims),
                nowMs());
        shutdown = new MemberShutdown(machine, replica::mayTerminate, operatorCalls::isIdle, environment.exit());
        election = new LeaseElection(
                COORDINATOR_ROLE,
                replica.status().self(),
                stored.get(LeaseElection.key(COORDINATOR_ROLE)),
                LeaseTimings.defaults(),
                new ElectionOutput(),
                nowMs());
        operatorViews = new OperatorViews(new ReplicaStatusSource(
                replica::status,
                replica::zonesHoldingHalf,
                () -> operatorCalls.stateMachine().configuration(),
                () -> election.holder(nowMs()),
                coordinatorSupervisor::actingCoordinator,
                this::nowMs));
    }

    private OperationClaims operationClaims(OperationRegistry registry) {
        return new OperationClaims(
                registry,
                new OperationAccess(),
                ClaimWindow.claimDurationMs(nodeSettings.bounds().keyWindowS()),
                FIRST_OPERATIONS_TOKEN);
    }

    /** Ticks from now on; on the event loop. */
    void start() {
        machine.loop().scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Listens at the control-plane address; the future fails with the system's reason where it cannot. */
    ChannelFuture listen() {
        CallRouter<ControlPlaneServer.CallHandler> table = new CallRouter<>();
        operatorCalls.register(table);
        operatorViews.register(table);
        operationViews.register(table);
        new MemberRemovalCalls(this::removeMember).register(table);
        return new ControlPlaneServer(table).listen(machine, nodeSettings.controlPlane());
    }

    private void removeMember(String address, long incarnation, Consumer<MemberRemovalOutcome> then) {
        replica.removeMember(
                address, incarnation, nowMs(), result -> machine.loop().execute(() -> then.accept(result)));
    }

    private long nowMs() {
        return machine.clock().nanos() / 1_000_000;
    }

    private void tick() {
        try {
            long nowMs = nowMs();
            replica.tick(nowMs);
            operatorCalls.tick(nowMs);
            peerLinks.tick(nowMs);
            election.updateView(replica.status(), nowMs);
            election.tick(nowMs);
            operatorViews.tick();
            coordinatorSupervisor.tick(nowMs);
            shutdown.tick(nowMs);
        } catch (RuntimeException e) {
            LOG.warn("tick-failed").withFailure(e).log();
        }
    }

    /** The status of this member. */
    ReplicaStatus status() {
        return replica.status();
    }

    /** Whether it holds the coordinator's lease, and may act by it now. */
    boolean mayAct() {
        return election.mayAct(nowMs());
    }

    private void onConfigurationChanged() {
        Configuration configuration = operatorCalls.stateMachine().configuration();
        LOG.info("configuration")
                .with("revision", configuration.revision())
                .with("routes", configuration.routes().size())
                .with("services", configuration.services().size())
                .log();
        coordinatorSupervisor.onConfigurationChanged(configuration);
    }

    private void onProposalCompleted(long token, ProposalOutcome outcome) {
        if (operationClaims.isOwnToken(token)) {
            operationClaims.onProposalCompleted(token, outcome);
        } else {
            operatorCalls.onProposalCompleted(token, outcome);
        }
    }

    /** SIGHUP. */
    void reloadSettings() {
        SettingsReload.run(
                nodeSettings,
                current -> replica.updateSettings(ReplicaSettings.timeouts(current), ReplicaSettings.seeds(current)),
                LOG);
    }

    /** SIGTERM; a second one changes nothing. */
    void leave() {
        if (shutdown.isStarted()) {
            return;
        }
        long nowMs = nowMs();
        shutdown.start(nowMs, ReplicaSettings.leaveTimeoutMs(nodeSettings));
        election.handOver(nowMs);
        replica.leave(nowMs);
    }

    private final class ReplicaAccess implements OperatorCalls.ReplicaAccess {
        @Override
        public ReplicaStatus status() {
            return replica.status();
        }

        @Override
        public String successor() {
            return replica.successor();
        }

        @Override
        public void propose(long token, byte[] change) {
            machine.loop().execute(() -> replica.propose(token, change, nowMs()));
        }

        @Override
        public void requestReadIndex(long token) {
            machine.loop().execute(() -> replica.requestReadIndex(token, nowMs()));
        }
    }

    private final class OperationAccess implements OperationClaims.Access {
        @Override
        public void propose(long token, byte[] change) {
            machine.loop().execute(() -> replica.propose(token, change, nowMs()));
        }

        @Override
        public void send(String edge, Object frame) {
            coordinatorSupervisor.sendToEdge(edge, frame);
        }

        @Override
        public String tenantOf(KeyDigest credential) {
            return operatorCalls.stateMachine().configuration().tenantNameForKey(credential);
        }

        @Override
        public long nowMs() {
            return ControlPlaneProgram.this.nowMs();
        }
    }

    private final class ElectionOutput implements ElectionActions {
        @Override
        public void send(String to, ElectionMessage frame) {
            peerLinks.send(to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            storeCommits.commit(
                    changes, () -> election.synced(ticket, nowMs()), () -> election.syncFailed(ticket, nowMs()));
        }

        @Override
        public void won(long term) {
            coordinatorSupervisor.onLeaseWon(term);
        }

        @Override
        public void lost(long term) {
            coordinatorSupervisor.onLeaseLost();
        }

        @Override
        public void log(ElectionEvent event) {
            LOG.log(event);
        }
    }

    private final class ReplicationOutput implements ReplicationActions {
        @Override
        public void send(String to, ReplicationMessage frame) {
            peerLinks.send(to, frame);
        }

        @Override
        public void persist(long ticket, Map<String, byte[]> changes) {
            storeCommits.commit(
                    changes, () -> replica.synced(ticket, nowMs()), () -> replica.syncFailed(ticket, nowMs()));
        }

        @Override
        public void proposalCompleted(long token, ProposalOutcome outcome) {
            machine.loop().execute(() -> onProposalCompleted(token, outcome));
        }

        @Override
        public void readIndexCompleted(long token, boolean confirmed) {
            machine.loop().execute(() -> operatorCalls.onReadIndexCompleted(token, confirmed));
        }

        @Override
        public void statusChanged() {
            machine.loop().execute(operatorCalls::onStatusChanged);
        }

        @Override
        public void log(ReplicationEvent event) {
            LOG.log(event);
        }
    }

    private final class MemberAccess implements CoordinatorSupervisor.MemberAccess {
        @Override
        public ReplicaStatus status() {
            return replica.status();
        }

        @Override
        public Configuration configuration() {
            return operatorCalls.stateMachine().configuration();
        }

        @Override
        public LeaseHolder leaseHolder() {
            return election.holder(nowMs());
        }

        @Override
        public boolean mayAct() {
            return ControlPlaneProgram.this.mayAct();
        }

        @Override
        public void revalidate(long term) {
            election.revalidate(term, nowMs());
        }
    }

    private final class MemberEvents implements PeerLinks.MemberReceiver {
        @Override
        public void onMemberMessage(String from, Object frame) {
            if (frame instanceof ElectionMessage) {
                election.receive(from, frame, nowMs());
            } else {
                replica.receive(from, frame, nowMs());
            }
        }

        @Override
        public void onMemberDisconnected(String who) {
            replica.onDisconnected(who, nowMs());
        }
    }
}
