package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes on their way to the disk: gathered into one batch while the one before is being synced, in order, and tried
 * again after a failure. Callbacks wait here until everything written before them is synced.
 */
final class WriteAheadQueue {
    private static final int RETRY_INTERVAL_MS = 250;

    private final ReplicationActions actions;
    private Map<String, byte[]> openBatch = new LinkedHashMap<>();
    private List<Runnable> openCallbacks = new ArrayList<>();
    private long openSinceMs = -1;
    private Map<String, byte[]> inFlightBatch;
    private List<Runnable> inFlightCallbacks;
    private long inFlightSinceMs;
    private long ticket;
    private boolean lastWriteFailed;
    private long retryAtMs;
    private long openBytes;
    private long inFlightBytes;

    WriteAheadQueue(ReplicationActions actions) {
        this.actions = actions;
    }

    /** Changes for the next batch; a null value removes the key. */
    void put(String key, byte[] value, long now) {
        if (openSinceMs < 0) {
            openSinceMs = now;
        }
        openBatch.put(key, value);
        if (value != null) {
            openBytes += value.length;
        }
    }

    void put(Map<String, byte[]> changes, long now) {
        changes.forEach((key, value) -> put(key, value, now));
    }

    /** Runs the callback once everything that was put so far is synced. */
    void onSynced(Runnable run) {
        openCallbacks.add(run);
    }

    /** Writes the next batch if none is in flight. */
    void flush(long now) {
        if (inFlightBatch != null || (lastWriteFailed && now < retryAtMs)) {
            return;
        }
        while (openBatch.isEmpty()) {
            List<Runnable> runs = openCallbacks;
            if (runs.isEmpty()) {
                return;
            }
            openCallbacks = new ArrayList<>();
            runs.forEach(Runnable::run);
        }
        inFlightBatch = openBatch;
        inFlightCallbacks = openCallbacks;
        inFlightSinceMs = openSinceMs;
        openBatch = new LinkedHashMap<>();
        openCallbacks = new ArrayList<>();
        openSinceMs = -1;
        inFlightBytes = openBytes;
        openBytes = 0;
        actions.persist(++ticket, inFlightBatch);
    }

    void synced(long which) {
        if (inFlightBatch == null || which != ticket) {
            return;
        }
        List<Runnable> runs = inFlightCallbacks;
        inFlightBatch = null;
        inFlightCallbacks = null;
        lastWriteFailed = false;
        runs.forEach(Runnable::run);
    }

    /** The batch goes in front of what came after it, and is tried again after a while. */
    void failed(long which, long now) {
        if (inFlightBatch == null || which != ticket) {
            return;
        }
        inFlightBatch.putAll(openBatch);
        inFlightCallbacks.addAll(openCallbacks);
        openBatch = inFlightBatch;
        openCallbacks = inFlightCallbacks;
        openSinceMs = inFlightSinceMs;
        openBytes += inFlightBytes;
        inFlightBatch = null;
        inFlightCallbacks = null;
        lastWriteFailed = true;
        retryAtMs = now + RETRY_INTERVAL_MS;
    }

    /** Whether the last write failed. */
    boolean isFailing() {
        return lastWriteFailed;
    }

    /** Milliseconds that the oldest write has been waiting; 0 when there is none. */
    long oldestWriteAgeMs(long now) {
        if (inFlightBatch != null) {
            return now - inFlightSinceMs;
        }
        return openSinceMs < 0 ? 0 : now - openSinceMs;
    }

    /** Whether more than this many bytes wait for the batch in flight. */
    boolean hasOpenBytesAbove(long most) {
        return openBytes > most;
    }
}
