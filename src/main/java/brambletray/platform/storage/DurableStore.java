package brambletray.platform.storage;

import java.util.List;

/** Durable writes for a loop, in the order in which they were asked for. */
public interface DurableStore {
    /** How a commit went; called on the loop. */
    interface CommitCallback {
        /** Durable. */
        void onCommitted();

        /** May be there or not: {@code error} says why. */
        void onFailed(StorageException error);
    }

    /**
     * Asks for a commit, wholly there or not at all; from the loop.
     *
     * @param nowMs ms of the steady clock
     * @return false if too much waits: nothing is taken, and no reply comes
     */
    boolean commit(List<KeyChange> changes, long nowMs, CommitCallback callback);
}
