package brambletray.platform.storage;

import java.util.List;

/** Durable writes for an event loop, in the order in which they were requested. */
public interface DurableStore {
    /** Receives the result of a commit; called on the event loop. */
    interface CommitCallback {
        /** The changes are durable. */
        void onCommitted();

        /** The commit has failed with {@code error}; its changes may be stored or not. */
        void onFailed(StorageException error);
    }

    /**
     * Requests an atomic commit; to be called on the event loop.
     *
     * @param nowMs ms of the monotonic clock
     * @return false if too much is pending: the commit is rejected, and the callback is not called
     */
    boolean commit(List<KeyChange> changes, long nowMs, CommitCallback callback);
}
