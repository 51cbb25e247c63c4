package brambletray.platform.storage;

import brambletray.common.runtime.Machine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A simulated disk with the production {@link SyncWriter} of one process on top. A sync takes simulated time, and may
 * fail or be interrupted when the process ends.
 */
public final class SimulatedStore implements SyncWriter.Disk {
    /** The disk, which outlives the process. */
    public static final class SimulatedDisk {
        private final Map<String, byte[]> contents = new TreeMap<>();
        /** Minimum duration of a sync in ms; the maximum is one and a half times that. */
        public int syncMs;
        /** Whether all writes fail. */
        public boolean refusesWrites;
        /** No sync ends before this time; ms of the monotonic clock. */
        public long hungUntilMs;

        /** An empty disk; {@code syncMs}: see {@link #syncMs}. */
        public SimulatedDisk(int syncMs) {
            this.syncMs = syncMs;
        }

        /** A copy of the stored entries. */
        public Map<String, byte[]> read() {
            return new HashMap<>(contents);
        }
    }

    private final SimulatedDisk disk;
    private final Machine machine;
    private final SplittableRandom random;
    private final SyncWriter syncWriter;
    private Runnable batchInProgress;

    /** Writes to this disk in simulated time; {@code random} determines the duration of each sync. */
    public SimulatedStore(SimulatedDisk disk, Machine machine, SplittableRandom random) {
        this.disk = disk;
        this.machine = machine;
        this.random = random;
        syncWriter = new SyncWriter(this, machine.loop(), () -> machine.loop().execute(this::startBatch));
    }

    /** The store as production code uses it. */
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

    /** The process has ended; the batch being written may be stored or not. */
    public void crash() {
        if (batchInProgress != null && !disk.refusesWrites && random.nextBoolean()) {
            batchInProgress.run();
        }
    }

    @Override
    public void commit(List<KeyChange> changes) throws StorageException {
        if (disk.refusesWrites) {
            throw new StorageException("storage.full", "the simulated disk refuses writes", null);
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
