package brambletray.platform.controlplane;

import brambletray.platform.logging.EventLog;
import brambletray.platform.storage.KeyValueStore;
import brambletray.platform.storage.StorageException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Opens the disk of a core machine at the start of its process. Blocks; not for the event loop. */
final class StoreOpener {
    private static final EventLog LOG = EventLog.of("controlplane");
    /** ms until a disk that could not be opened is tried again. */
    private static final int RETRY_MS = 200;

    private StoreOpener() {}

    /**
     * Opens the store, for as long as it takes: a disk that refuses is tried again, one without a complete store counts
     * as lost, and its incarnation with it.
     *
     * @throws StorageException if the store has another format
     */
    static KeyValueStore open(Path dir) throws InterruptedException {
        while (true) {
            try {
                return KeyValueStore.open(dir);
            } catch (StorageException error) {
                LOG.warn("disk-open-failed")
                        .with("code", error.code())
                        .with("why", error.getMessage())
                        .log();
                if (error.code().equals("storage.broken")) {
                    KeyValueStore.abandon(dir);
                } else if (error.code().equals("storage.format")) {
                    throw error;
                } else {
                    TimeUnit.MILLISECONDS.sleep(RETRY_MS);
                }
            }
        }
    }

    /** All keys and values of a store. */
    static Map<String, byte[]> readAll(KeyValueStore store) {
        Map<String, byte[]> entries = new HashMap<>();
        for (Map.Entry<String, byte[]> entry : store.prefix("")) {
            entries.put(entry.getKey(), entry.getValue());
        }
        return entries;
    }
}
