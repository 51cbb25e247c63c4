package brambletray.platform.edge;

import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.NodeSettings;
import brambletray.runtime.Machine;
import java.util.function.IntConsumer;

/** The production {@link EdgeProgram}, whole, on a simulated machine. */
public final class SimulatedEdge {
    private final EdgeProgram carry;

    private SimulatedEdge(EdgeProgram carry) {
        this.carry = carry;
    }

    public static SimulatedEdge start(NodeSettings nodeSettings, Machine machine, long life, IntConsumer exit) {
        EdgeProgram carry = new EdgeProgram(nodeSettings, machine, life, exit);
        carry.open(nodeSettings.frontEnd(), nodeSettings.readiness());
        return new SimulatedEdge(carry);
    }

    public Configuration configuration() {
        return carry.configuration();
    }

    /** SIGHUP. */
    void hangUp() {
        carry.reread();
    }

    /** SIGTERM. */
    void terminate() {
        carry.leave();
    }

    public boolean ready() {
        return carry.ready();
    }
}
