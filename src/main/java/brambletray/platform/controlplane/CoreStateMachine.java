package brambletray.platform.controlplane;

import brambletray.platform.logging.EventLog;
import brambletray.platform.operations.OperationBatch;
import brambletray.platform.operations.OperationRegistry;
import brambletray.platform.operations.OperationsException;
import brambletray.platform.replication.StateMachine;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The complete replicated state of the core: the configuration and the claims on operations, which share one log.
 * Entries are distinguished by their first byte. A snapshot of the configuration alone, as earlier versions wrote it,
 * can be read.
 */
final class CoreStateMachine implements StateMachine {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** First byte of a snapshot of both; that of a configuration alone is another. */
    private static final byte SNAPSHOT_FORMAT = 2;

    private static final int HEADER_BYTES = 5;

    /** Hears of what has been applied. */
    interface Listener {
        void onOperationsApplied(List<OperationRegistry.Outcome> outcomes);
    }

    private record Parts(byte[] configuration, byte[] operations) {
        static Parts of(byte[] snapshot) {
            if (snapshot.length == 0 || snapshot[0] != SNAPSHOT_FORMAT) {
                return new Parts(snapshot, new byte[0]);
            }
            int end = HEADER_BYTES + ByteBuffer.wrap(snapshot).getInt(1);
            return new Parts(
                    Arrays.copyOfRange(snapshot, HEADER_BYTES, end),
                    Arrays.copyOfRange(snapshot, end, snapshot.length));
        }

        byte[] join() {
            return ByteBuffer.allocate(HEADER_BYTES + configuration.length + operations.length)
                    .put(SNAPSHOT_FORMAT)
                    .putInt(configuration.length)
                    .put(configuration)
                    .put(operations)
                    .array();
        }
    }

    private final StateMachine configuration;
    private final OperationRegistry operations;
    private final LongSupplier clock;
    private final Listener listener;
    /** The configuration's part of a snapshot, until it changes; null: to be made. */
    private byte[] configurationSnapshot;

    /** {@code clock}: steady ms. */
    CoreStateMachine(StateMachine configuration, OperationRegistry operations, LongSupplier clock, Listener listener) {
        this.configuration = configuration;
        this.operations = operations;
        this.clock = clock;
        this.listener = listener;
    }

    @Override
    public byte[] snapshot() {
        if (configurationSnapshot == null) {
            configurationSnapshot = configuration.snapshot();
        }
        return new Parts(configurationSnapshot, operations.snapshot()).join();
    }

    @Override
    public void restore(byte[] snapshot) {
        configurationSnapshot = null;
        Parts parts = Parts.of(snapshot);
        configuration.restore(parts.configuration);
        operations.restore(parts.operations, clock.getAsLong());
    }

    @Override
    public byte[] replay(byte[] snapshot, List<byte[]> changes) {
        Parts parts = Parts.of(snapshot);
        OperationRegistry replayed = new OperationRegistry(0, 0);
        replayed.restore(parts.operations, 0);
        List<byte[]> configurationChanges = new ArrayList<>();
        for (byte[] change : changes) {
            if (OperationBatch.isBatch(change)) {
                OperationBatch batch = decode(change);
                if (batch != null) {
                    replayed.apply(batch, 0);
                }
            } else {
                configurationChanges.add(change);
            }
        }
        return new Parts(configuration.replay(parts.configuration, configurationChanges), replayed.snapshot()).join();
    }

    @Override
    public void apply(long index, byte[] change) {
        if (OperationBatch.isBatch(change)) {
            OperationBatch batch = decode(change);
            if (batch != null) {
                listener.onOperationsApplied(operations.apply(batch, clock.getAsLong()));
            }
        } else {
            configurationSnapshot = null;
            configuration.apply(index, change);
        }
    }

    /** Null where it cannot be read: then it is passed over, at all members alike. */
    private static OperationBatch decode(byte[] change) {
        try {
            return OperationBatch.decode(change);
        } catch (OperationsException e) {
            LOG.warn("operation-batch-unreadable")
                    .with("reason", e.getMessage())
                    .log();
            return null;
        }
    }
}
