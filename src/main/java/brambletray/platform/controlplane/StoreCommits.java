package brambletray.platform.controlplane;

import brambletray.common.runtime.Machine;
import brambletray.platform.storage.DurableStore;
import brambletray.platform.storage.KeyChange;
import brambletray.platform.storage.StorageException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Writes the changes of replication and election to this member's disk. For the event loop only. */
final class StoreCommits {
    private final Machine machine;
    private final DurableStore store;

    StoreCommits(Machine machine, DurableStore store) {
        this.machine = machine;
        this.store = store;
    }

    /**
     * Writes all changes or none of them; one of the two callbacks follows, on the loop.
     *
     * @param changes values by key; null removes a key
     */
    void commit(Map<String, byte[]> changes, Runnable onCommitted, Runnable onFailed) {
        List<KeyChange> all = new ArrayList<>(changes.size());
        changes.forEach((key, value) -> all.add(new KeyChange(key, value)));
        boolean accepted = store.commit(all, machine.clock().nanos() / 1_000_000, new DurableStore.CommitCallback() {
            @Override
            public void onCommitted() {
                onCommitted.run();
            }

            @Override
            public void onFailed(StorageException error) {
                onFailed.run();
            }
        });
        if (!accepted) {
            machine.loop().execute(onFailed);
        }
    }
}
