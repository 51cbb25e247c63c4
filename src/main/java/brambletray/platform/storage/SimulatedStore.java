package brambletray.platform.storage;

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
public final class SimulatedStore implements SyncWriter.Disk {
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

    private final Platter directory;
    private final Machine machine;
    private final SplittableRandom random;
    private final SyncWriter syncWriter;
    private Runnable writing;

    public SimulatedStore(Platter directory, Machine machine, SplittableRandom random) {
        this.directory = directory;
        this.machine = machine;
        this.random = random;
        syncWriter = new SyncWriter(this, machine.loop(), () -> machine.loop().execute(this::begin));
    }

    public DurableStore store() {
        return syncWriter;
    }

    private void begin() {
        if (writing != null) {
            return;
        }
        writing = syncWriter.batch();
        if (writing != null) {
            int ms = directory.full ? 1 : directory.syncMs + random.nextInt(directory.syncMs / 2 + 1);
            machine.loop().schedule(this::end, ms, TimeUnit.MILLISECONDS);
        }
    }

    private void end() {
        long now = machine.clock().nanos() / 1_000_000;
        if (directory.hungUntil > now) {
            machine.loop().schedule(this::end, directory.hungUntil - now, TimeUnit.MILLISECONDS);
            return;
        }
        Runnable batch = writing;
        writing = null;
        batch.run();
        begin();
    }

    /** The process is gone; what it was just writing may be there or not. */
    public void cutOff() {
        if (writing != null && !directory.full && random.nextBoolean()) {
            writing.run();
        }
    }

    @Override
    public void commit(List<KeyChange> changes) throws StorageException {
        if (directory.full) {
            throw new StorageException("storage.full", "no room", null);
        }
        for (KeyChange change : changes) {
            if (change.value() == null) {
                directory.kept.remove(change.key());
            } else {
                directory.kept.put(change.key(), change.value());
            }
        }
    }
}
