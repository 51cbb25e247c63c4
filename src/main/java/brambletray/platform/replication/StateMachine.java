package brambletray.platform.replication;

import java.util.List;

/** The replicated state machine; its state is the same at all members after the same index. Called on one thread. */
public interface StateMachine {
    /** The present state. */
    byte[] snapshot();

    /**
     * Replaces the state by one that {@link #snapshot} has returned somewhere; empty bytes are the state before the
     * first change.
     */
    void restore(byte[] snapshot);

    /**
     * What {@link #snapshot} would give after a restore from {@code snapshot} and these changes; the state itself stays
     * as it is.
     */
    byte[] replay(byte[] snapshot, List<byte[]> changes);

    /**
     * The next change. Called once for each index between a restore and the end of the process, in order. Must not
     * throw.
     */
    void apply(long index, byte[] change);
}
