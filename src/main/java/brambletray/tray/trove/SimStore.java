package brambletray.tray.trove;

import brambletray.runtime.Machine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A disk in simulated time, and the production Scribe of one process on it: a sync takes its time, fails, or is cut
 * short by a loss of power.
 */
public final class SimStore implements Scribe.Disk {
    /** What stays when the process ends. */
    public static final class Platter {
        private final Map<String, byte[]> kept = new TreeMap<>();
        /** ms a sync takes at least; half of that again at most. */
        public int syncMs;
        /** Every write is refused. */
        public boolean full;
        /** Steady ms; a sync that would end before ends then. */
        public long hungUntil;

        public Platter(int syncMs) {
            this.syncMs = syncMs;
        }

        public Map<String, byte[]> read() {
            return new HashMap<>(kept);
        }
    }

    private final Platter platter;
    private final Machine machine;
    private final SplittableRandom random;
    private final Scribe scribe;
    private Runnable writing;

    public SimStore(Platter platter, Machine machine, SplittableRandom random) {
        this.platter = platter;
        this.machine = machine;
        this.random = random;
        scribe = new Scribe(this, machine.loop(), () -> machine.loop().execute(this::begin));
    }

    public DurableStore store() {
        return scribe;
    }

    private void begin() {
        if (writing != null) {
            return;
        }
        writing = scribe.batch();
        if (writing != null) {
            int ms = platter.full ? 1 : platter.syncMs + random.nextInt(platter.syncMs / 2 + 1);
            machine.loop().schedule(this::end, ms, TimeUnit.MILLISECONDS);
        }
    }

    private void end() {
        long now = machine.clock().nanos() / 1_000_000;
        if (platter.hungUntil > now) {
            machine.loop().schedule(this::end, platter.hungUntil - now, TimeUnit.MILLISECONDS);
            return;
        }
        Runnable batch = writing;
        writing = null;
        batch.run();
        begin();
    }

    /** The process is gone; what it was just writing may be there or not. */
    public void cutOff() {
        if (writing != null && !platter.full && random.nextBoolean()) {
            writing.run();
        }
    }

    @Override
    public void commit(List<Change> changes) throws TroveFault {
        if (platter.full) {
            throw new TroveFault("trove.full", "no room", null);
        }
        for (Change change : changes) {
            if (change.value() == null) {
                platter.kept.remove(change.key());
            } else {
                platter.kept.put(change.key(), change.value());
            }
        }
    }
}
