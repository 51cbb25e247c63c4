package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.storage.DurableStore;
import java.util.Map;

/** The production {@link ControlPlaneProgram} on a simulated machine. */
public final class SimulatedControlPlane {
    private final ControlPlaneProgram program;

    private SimulatedControlPlane(ControlPlaneProgram program) {
        this.program = program;
    }

    /** Starts the program on this machine, from what its disk holds. */
    public static SimulatedControlPlane start(
            NodeSettings nodeSettings,
            Machine machine,
            Map<String, byte[]> stored,
            DurableStore store,
            Runnable exit,
            long newIncarnation,
            long origin) {
        ControlPlaneProgram program = new ControlPlaneProgram(
                nodeSettings, new ControlPlaneEnvironment(machine, stored, store, exit), newIncarnation, origin);
        program.start();
        program.listen();
        return new SimulatedControlPlane(program);
    }

    /** SIGTERM. */
    public void leave() {
        program.leave();
    }

    /** The status of its replica. */
    public ReplicaStatus status() {
        return program.status();
    }

    /** Whether it is the coordinator, and may act now. */
    public boolean mayAct() {
        return program.mayAct();
    }
}
