package brambletray.platform.edge;

import brambletray.common.runtime.Machine;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.settings.NodeSettings;
import java.util.function.IntConsumer;

/** The production {@link EdgeProgram} on a simulated machine. */
public final class SimulatedEdge {
    private final EdgeProgram program;

    private SimulatedEdge(EdgeProgram program) {
        this.program = program;
    }

    /** Starts the program on this machine. */
    public static SimulatedEdge start(NodeSettings nodeSettings, Machine machine, long incarnation, IntConsumer exit) {
        EdgeProgram program = new EdgeProgram(nodeSettings, machine, incarnation, exit);
        program.open(nodeSettings.frontEnd(), nodeSettings.readiness());
        return new SimulatedEdge(program);
    }

    /** The configuration under which it serves requests. */
    public Configuration configuration() {
        return program.configuration();
    }

    /** Simulates SIGHUP. */
    void reloadSettings() {
        program.reloadSettings();
    }

    /** Simulates SIGTERM. */
    void terminate() {
        program.leave();
    }

    /** Whether it reports ready. */
    public boolean isReady() {
        return program.isReady();
    }
}
