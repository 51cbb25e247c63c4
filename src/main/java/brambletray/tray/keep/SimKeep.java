package brambletray.tray.keep;

import brambletray.runtime.Machine;
import brambletray.tray.berth.Berth;
import brambletray.tray.trove.DurableStore;
import brambletray.tray.view.Status;
import java.util.Map;

/** The production {@link Keep} on a simulated machine. */
public final class SimKeep {
    private final Keep keep;

    private SimKeep(Keep keep) {
        this.keep = keep;
    }

    public static SimKeep start(
            Berth berth,
            Machine machine,
            Map<String, byte[]> kept,
            DurableStore store,
            Runnable exit,
            long life,
            long origin) {
        Keep keep = new Keep(berth, new Keep.Environment(machine, kept, store, exit), life, origin);
        keep.start();
        keep.open();
        return new SimKeep(keep);
    }

    public void leave() {
        keep.leave();
    }

    public Status status() {
        return keep.status();
    }

    public boolean mayAct() {
        return keep.mayAct();
    }
}
