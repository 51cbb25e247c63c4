package brambletray.platform.replication;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * A disk in simulated time: what is synced, and batches under way (one a writer) that a loss of power may take away or
 * leave.
 */
public final class SimulatedReplicaDisk {
    public final Map<String, byte[]> content = new HashMap<>();
    private final Map<Integer, Map<String, byte[]>> inFlight = new TreeMap<>();
    int syncMs = 5;
    /** Bytes that a sync writes in a ms; 0 for a disk on which size takes no time. */
    public int bytesPerMs;

    boolean full;
    /** Syncs begun before this end after it. */
    long hungUntil;

    void startWrite(int writer, Map<String, byte[]> changes) {
        inFlight.put(writer, new HashMap<>(changes));
    }

    /** ms that the bytes of a writer's batch under way add to its sync. */
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
