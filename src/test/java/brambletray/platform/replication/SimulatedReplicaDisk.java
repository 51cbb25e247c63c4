package brambletray.platform.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A simulated disk: the synced content, and one batch in flight per writer that a power loss may discard or keep.
 */
public final class SimulatedReplicaDisk {
    public final Map<String, byte[]> content = new HashMap<>();
    private final Map<Integer, Map<String, byte[]>> inFlight = new TreeMap<>();
    int syncMs = 5;
    /** Write throughput in bytes per ms; 0 if the size does not affect the sync time. */
    public int bytesPerMs;

    boolean full;
    /** Syncs that started before this time complete after it. */
    long hungUntil;

    void startWrite(int writer, Map<String, byte[]> changes) {
        inFlight.put(writer, new HashMap<>(changes));
    }

    /** Time in ms that the size of a writer's batch in flight adds to its sync. */
    int transferMs(int writer) {
        long bytes = 0;
        for (byte[] value : inFlight.get(writer).values()) {
            bytes += value == null ? 0 : value.length;
        }
        return bytesPerMs == 0 ? 0 : (int) (bytes / bytesPerMs);
    }

    void completeWrite(int writer) {
        Map<String, byte[]> changes = inFlight.remove(writer);
        if (changes == null) {
            return;
        }
        changes.forEach((key, value) -> {
            if (value == null) {
                content.remove(key);
            } else {
                content.put(key, value);
            }
        });
    }

    void completeAllWrites() {
        for (int writer : inFlight.keySet().toArray(new Integer[0])) {
            completeWrite(writer);
        }
    }

    void discardWrite(int writer) {
        inFlight.remove(writer);
    }

    void discardAllWrites() {
        inFlight.clear();
    }

    void wipe() {
        inFlight.clear();
        content.clear();
    }
}
