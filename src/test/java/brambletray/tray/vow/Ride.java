package brambletray.tray.vow;

import brambletray.tray.view.SimNode;
import java.util.Map;

/** The duty at one process in simulated time. */
final class Ride implements SimNode.Rider, Out {
    /** Is told of terms won and of moments at which a holder may act. */
    interface Witness {
        void won(SimNode node, long term);

        void act(SimNode node, long term);
    }

    private final SimNode node;
    private final Witness witness;
    final Vow vow;
    long term;

    Ride(SimNode node, Witness witness) {
        this.node = node;
        this.witness = witness;
        vow = new Vow(
                "helm", node.members.status().me(), node.disk.kept.get(Vow.key("helm")), Spans.usual(), this, now());
    }

    private long now() {
        return node.world.now;
    }

    @Override
    public void tick() {
        vow.view(node.members.status(), now());
        vow.tick(now());
        act();
    }

    private void act() {
        if (!vow.mayAct(now())) {
            return;
        }
        if (term == 0) {
            node.world.oracle.fail(node.address + " may act without a term");
        }
        witness.act(node, term);
    }

    @Override
    public void heard(String from, Object frame) {
        vow.view(node.members.status(), now());
        vow.heard(from, frame, now());
        act();
    }

    @Override
    public void synced(long ticket) {
        vow.synced(ticket, now());
    }

    @Override
    public void failed(long ticket) {
        vow.syncFailed(ticket, now());
    }

    @Override
    public void send(String address, Ballots frame) {
        node.world.send(node, address, frame);
    }

    @Override
    public void persist(long ticket, Map<String, byte[]> changes) {
        node.persist(ticket, changes);
    }

    @Override
    public void won(long newTerm) {
        term = newTerm;
        witness.won(node, newTerm);
    }

    @Override
    public void lost(long oldTerm) {
        term = 0;
    }

    @Override
    public void tell(String event, Object... facts) {
        if (node.world.talks) {
            node.world.tales.add(
                    node.world.now + " " + node.address + " " + event + " " + java.util.Arrays.toString(facts));
        }
    }
}
