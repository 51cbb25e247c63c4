package brambletray.platform.controlplane;

import brambletray.platform.replication.ReplicaStatus;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.storage.DurableStore;
import brambletray.runtime.Machine;
import java.util.Map;

/** The production {@link ControlPlaneProgram} on a simulated machine. */
public final class SimulatedControlPlane {
    private final ControlPlaneProgram keep;

    private SimulatedControlPlane(ControlPlaneProgram keep) {
        this.keep = keep;
    }

    public static SimulatedControlPlane start(
            NodeSettings nodeSettings,
            Machine machine,
            Map<String, byte[]> kept,
            DurableStore store,
            Runnable exit,
            long life,
            long origin) {
        ControlPlaneProgram keep = new ControlPlaneProgram(
                nodeSettings, new ControlPlaneProgram.Environment(machine, kept, store, exit), life, origin);
        keep.start();
        keep.open();
        return new SimulatedControlPlane(keep);
    }

    public void leave() {
        keep.leave();
    }

    public ReplicaStatus status() {
        return keep.status();
    }

    public boolean mayAct() {
        return keep.mayAct();
    }
}
