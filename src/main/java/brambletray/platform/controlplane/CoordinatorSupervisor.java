package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.ChangeHistory;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.distribution.ConfigurationPublisher;
import brambletray.platform.election.LeaseHolder;
import brambletray.platform.failuredetection.EdgeHello;
import brambletray.platform.failuredetection.EdgeWelcome;
import brambletray.platform.failuredetection.Roster;
import brambletray.platform.replication.Member;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.settings.Address;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.transport.Link;

/**
 * This member's side towards edges, coordinator or not: welcomes them, and runs an {@link EdgeCoordinator} for the term
 * of the lease that is held here, and for no other. For the event loop only.
 *
 * <p>Invariant: there is at most one coordinator, its term is the held one, and it is created only while the lease
 * allows it to act.
 */
final class CoordinatorSupervisor implements PeerLinks.EdgeReceiver {
    /** What the supervisor asks of the member that it belongs to. */
    interface MemberAccess {
        ReplicaStatus status();

        /** The newest configuration that was applied here. */
        Configuration configuration();

        /** Who is known to hold the lease, or null. */
        LeaseHolder leaseHolder();

        /** Whether the lease is held here and allows to act at this moment. */
        boolean mayAct();

        /** This term, or a higher one, is known outside: a lower lease has to be renewed before it allows to act. */
        void revalidate(long term);
    }

    private final Machine machine;
    private final NodeSettings nodeSettings;
    private final MemberAccess member;
    private final ClaimHandler claims;
    private final EdgeGreeter edgeGreeter = new EdgeGreeter(this::welcome);
    /** At each member, coordinator or not: the next coordinator goes on with deltas from what edges have. */
    private final ChangeHistory changeHistory = new ChangeHistory();

    private final ConfigurationPublisher publisher = new ConfigurationPublisher(changeHistory);
    private EdgeCoordinator coordinator;
    /** Term of the lease that is held here, 0 for none. */
    private long heldTerm;

    CoordinatorSupervisor(Machine machine, NodeSettings nodeSettings, MemberAccess member, ClaimHandler claims) {
        this.machine = machine;
        this.nodeSettings = nodeSettings;
        this.member = member;
        this.claims = claims;
    }

    /** The coordinator while it may act, else null. */
    EdgeCoordinator actingCoordinator() {
        return coordinator != null && member.mayAct() ? coordinator : null;
    }

    /** Sends to an edge that follows the coordinator here; lost where there is none. */
    void sendToEdge(String name, Object frame) {
        if (coordinator != null) {
            coordinator.send(name, frame);
        }
    }

    /** The lease was won under this term. */
    void onLeaseWon(long term) {
        heldTerm = term;
        machine.loop().execute(this::updateCoordinator);
    }

    /** The lease is no longer held here. */
    void onLeaseLost() {
        heldTerm = 0;
        machine.loop().execute(this::updateCoordinator);
    }

    /** Another configuration was applied here. */
    void onConfigurationChanged(Configuration configuration) {
        changeHistory.advanceTo(configuration);
        if (coordinator != null) {
            coordinator.onConfigurationChanged(nowMs());
        }
    }

    @Override
    public void onEdgeConnected(String name, Link link) {
        edgeGreeter.onConnected(name, link);
    }

    @Override
    public void onEdgeMessage(String name, Link link, Object frame) {
        if (frame instanceof EdgeHello hello) {
            member.revalidate(hello.term());
            edgeGreeter.onHello(link, hello);
        }
        if (coordinator != null) {
            coordinator.receive(name, link, frame, nowMs());
        }
    }

    @Override
    public void onEdgeDisconnected(String name, Link link) {
        edgeGreeter.onDisconnected(link);
        if (coordinator != null) {
            coordinator.onDisconnected(name, link, nowMs());
        }
    }

    /** To be called every 50 ms; steady ms. */
    void tick(long nowMs) {
        updateCoordinator();
        if (coordinator != null) {
            coordinator.tick(nowMs);
        }
        edgeGreeter.tick(nowMs);
    }

    /** A lease that was won but does not allow to act yet is taken up at a later tick. */
    private void updateCoordinator() {
        if (coordinator != null && coordinator.term() != heldTerm) {
            coordinator.close();
            coordinator = null;
        }
        if (coordinator == null && heldTerm != 0 && member.mayAct()) {
            startCoordinator(nowMs());
        }
    }

    private void startCoordinator(long nowMs) {
        coordinator = new EdgeCoordinator(
                machine, nodeSettings, heldTerm, member::configuration, publisher, new Authority(), claims, nowMs);
        edgeGreeter.onCoordinatorStarted(coordinator, nowMs);
    }

    private EdgeWelcome welcome() {
        return EdgeGreeter.welcome(
                member.status(),
                member.leaseHolder(),
                coordinator == null ? 0 : coordinator.term(),
                coordinator == null ? Roster.NONE : coordinator.newestRoster(),
                this::edgeFacingAddress);
    }

    /** Where edges reach a member of the control plane. */
    private String edgeFacingAddress(Member other) {
        return new Address(Address.parse(other.address()).host(), nodeSettings.internalPortLow()).toString();
    }

    private final class Authority implements EdgeCoordinator.Authority {
        @Override
        public boolean mayAct() {
            return member.mayAct();
        }

        @Override
        public boolean isSettled() {
            return member.status().settled();
        }

        @Override
        public EdgeWelcome welcome() {
            return CoordinatorSupervisor.this.welcome();
        }

        @Override
        public void onFenced(long term) {
            member.revalidate(term + 1);
        }
    }

    private long nowMs() {
        return machine.clock().nanos() / 1_000_000;
    }
}
