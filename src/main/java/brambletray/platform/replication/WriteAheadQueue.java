package brambletray.platform.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of writes to the disk: while one batch is being synced, further writes are collected in order into the next
 * one; failed batches are retried. Callbacks run once everything queued before them is synced.
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

    /** Adds a change to the open batch; a null value removes the key. */
    void put(String key, byte[] value, long nowMs) {
        if (openSinceMs < 0) {
            openSinceMs = nowMs;
        }
        openBatch.put(key, value);
        if (value != null) {
            openBytes += value.length;
        }
    }

    void put(Map<String, byte[]> changes, long nowMs) {
        changes.forEach((key, value) -> put(key, value, nowMs));
    }

    /** Runs the callback once everything queued so far is synced. */
    void onSynced(Runnable callback) {
        openCallbacks.add(callback);
    }

    /** Writes the next batch if none is in flight. */
    void flush(long nowMs) {
        if (inFlightBatch != null || (lastWriteFailed && nowMs < retryAtMs)) {
            return;
        }
        while (openBatch.isEmpty()) {
            List<Runnable> callbacks = openCallbacks;
            if (callbacks.isEmpty()) {
                return;
            }
            openCallbacks = new ArrayList<>();
            callbacks.forEach(Runnable::run);
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

    void synced(long completedTicket) {
        if (inFlightBatch == null || completedTicket != ticket) {
            return;
        }
        List<Runnable> callbacks = inFlightCallbacks;
        inFlightBatch = null;
        inFlightCallbacks = null;
        lastWriteFailed = false;
        callbacks.forEach(Runnable::run);
    }

    /** Puts the failed batch in front of the open one, to be retried after {@link #RETRY_INTERVAL_MS}. */
    void failed(long failedTicket, long nowMs) {
        if (inFlightBatch == null || failedTicket != ticket) {
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
        retryAtMs = nowMs + RETRY_INTERVAL_MS;
    }

    boolean isFailing() {
        return lastWriteFailed;
    }

    /** Age in ms of the oldest unsynced write; 0 if there is none. */
    long oldestWriteAgeMs(long nowMs) {
        if (inFlightBatch != null) {
            return nowMs - inFlightSinceMs;
        }
        return openSinceMs < 0 ? 0 : nowMs - openSinceMs;
    }

    /** Whether the open batch holds more than this many bytes. */
    boolean hasOpenBytesAbove(long maxBytes) {
        return openBytes > maxBytes;
    }
}
