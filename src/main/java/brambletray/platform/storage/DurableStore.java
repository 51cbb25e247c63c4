package brambletray.platform.storage;

import java.util.List;

/** Durable writes for a loop, in the order in which they were asked for. */
public interface DurableStore {
    /** How a commit went; called on the loop. */
    interface Reply {
        /** Durable. */
        void done();

        /** May be there or not: {@code fault} says why. */
        void failed(StorageException fault);
    }

    /**
     * Asks for a commit, wholly there or not at all; from the loop.
     *
     * @param now ms of the steady clock
     * @return false if too much waits: nothing is taken, and no reply comes
     */
    boolean commit(List<KeyChange> changes, long now, Reply reply);
}
