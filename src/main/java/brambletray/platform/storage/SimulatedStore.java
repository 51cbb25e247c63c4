package brambletray.platform.storage;

import brambletray.common.runtime.Machine;
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
    public static final class SimulatedDisk {
        private final Map<String, byte[]> contents = new TreeMap<>();
        /** ms a sync takes at least; half of that again at most. */
        public int syncMs;
        /** Every write is refused. */
        public boolean refusesWrites;
        /** Steady ms; a sync that would end before ends then. */
        public long hungUntilMs;

        /** An empty disk; {@code syncMs}: as the field says. */
        public SimulatedDisk(int syncMs) {
            this.syncMs = syncMs;
        }

        /** A copy of what it holds. */
        public Map<String, byte[]> read() {
            return new HashMap<>(contents);
        }
    }

    private final SimulatedDisk disk;
    private final Machine machine;
    private final SplittableRandom random;
    private final SyncWriter syncWriter;
    private Runnable batchInProgress;

    /** Writes to this disk in simulated time; {@code random} draws how long a sync takes. */
    public SimulatedStore(SimulatedDisk disk, Machine machine, SplittableRandom random) {
        this.disk = disk;
        this.machine = machine;
        this.random = random;
        syncWriter = new SyncWriter(this, machine.loop(), () -> machine.loop().execute(this::startBatch));
    }

    /** The store as a program uses it. */
    public DurableStore store() {
        return syncWriter;
    }

    private void startBatch() {
        if (batchInProgress != null) {
            return;
        }
        batchInProgress = syncWriter.pollBatch();
        if (batchInProgress != null) {
            int ms = disk.refusesWrites ? 1 : disk.syncMs + random.nextInt(disk.syncMs / 2 + 1);
            machine.loop().schedule(this::finishBatch, ms, TimeUnit.MILLISECONDS);
        }
    }

    private void finishBatch() {
        long now = machine.clock().nanos() / 1_000_000;
        if (disk.hungUntilMs > now) {
            machine.loop().schedule(this::finishBatch, disk.hungUntilMs - now, TimeUnit.MILLISECONDS);
            return;
        }
        Runnable batch = batchInProgress;
        batchInProgress = null;
        batch.run();
        startBatch();
    }

    /** The process is gone; what it was just writing may be there or not. */
    public void crash() {
        if (batchInProgress != null && !disk.refusesWrites && random.nextBoolean()) {
            batchInProgress.run();
        }
    }

    @Override
    public void commit(List<KeyChange> changes) throws StorageException {
        if (disk.refusesWrites) {
            throw new StorageException("storage.full", "no room", null);
        }
        for (KeyChange change : changes) {
            if (change.value() == null) {
                disk.contents.remove(change.key());
            } else {
                disk.contents.put(change.key(), change.value());
            }
        }
    }
}
