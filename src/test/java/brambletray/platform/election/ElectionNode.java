package brambletray.platform.election;

import brambletray.platform.replication.SimulatedReplica;
import java.util.Map;

/** The election of one role at one simulated process. */
final class ElectionNode implements SimulatedReplica.AdditionalComponent, ElectionActions {
    /** Called when a term is won, and each time a holder may act. */
    interface Observer {
        void won(SimulatedReplica node, long term);

        void act(SimulatedReplica node, long term);
    }

    private final SimulatedReplica node;
    private final Observer observer;
    final LeaseElection election;
    long term;

    ElectionNode(SimulatedReplica node, Observer observer) {
        this.node = node;
        this.observer = observer;
        election = new LeaseElection(
                "helm",
                node.replica.status().self(),
                node.disk.content.get(LeaseElection.key("helm")),
                LeaseTimings.defaults(),
                this,
                now());
    }

    private long now() {
        return node.world.now;
    }

    @Override
    public void tick() {
        election.updateView(node.replica.status(), now());
        election.tick(now());
        act();
    }

    private void act() {
        if (!election.mayAct(now())) {
            return;
        }
        if (term == 0) {
            node.world.ruleChecker.fail(node.address + " may act without having won a term");
        }
        observer.act(node, term);
    }

    @Override
    public void receive(String from, Object frame) {
        election.updateView(node.replica.status(), now());
        election.receive(from, frame, now());
        act();
    }

    @Override
    public void synced(long ticket) {
        election.synced(ticket, now());
    }

    @Override
    public void syncFailed(long ticket) {
        election.syncFailed(ticket, now());
    }

    @Override
    public void send(String address, ElectionMessage frame) {
        node.world.send(node, address, frame);
    }

    @Override
    public void persist(long ticket, Map<String, byte[]> changes) {
        node.persist(ticket, changes);
    }

    @Override
    public void won(long newTerm) {
        term = newTerm;
        observer.won(node, newTerm);
    }

    @Override
    public void lost(long oldTerm) {
        term = 0;
    }

    @Override
    public void log(ElectionEvent event) {
        if (node.world.logsEvents) {
            node.world.events.add(node.world.now + " " + node.address + " " + event);
        }
    }
}
