package brambletray.platform.controlplane;

import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.storage.DurableStore;
import brambletray.runtime.Machine;
import java.util.Map;

/** The production {@link ControlPlaneProgram} on a simulated machine. */
public final class SimulatedControlPlane {
    private final ControlPlaneProgram program;

    private SimulatedControlPlane(ControlPlaneProgram program) {
        this.program = program;
    }

    public static SimulatedControlPlane start(
            NodeSettings nodeSettings,
            Machine machine,
            Map<String, byte[]> stored,
            DurableStore store,
            Runnable exit,
            long newIncarnation,
            long origin) {
        ControlPlaneProgram program = new ControlPlaneProgram(
                nodeSettings,
                new ControlPlaneProgram.Environment(machine, stored, store, exit),
                newIncarnation,
                origin);
        program.start();
        program.listen();
        return new SimulatedControlPlane(program);
    }

    public void leave() {
        program.leave();
    }

    public ReplicaStatus status() {
        return program.status();
    }

    public boolean mayAct() {
        return program.mayAct();
    }
}
