package brambletray.platform.replication;

import java.util.List;

/**
 * The replicated state machine: deterministic, so that all members have the same state after the same index. Called on
 * one thread.
 */
public interface StateMachine {
    /** Serializes the current state. */
    byte[] snapshot();

    /**
     * Replaces the state by one that {@link #snapshot} has returned at some member; an empty array stands for the
     * initial state.
     */
    void restore(byte[] snapshot);

    /**
     * Computes what {@link #snapshot} would return after a restore from {@code snapshot} and these changes, without
     * modifying the state.
     */
    byte[] replay(byte[] snapshot, List<byte[]> changes);

    /**
     * Applies the next change. Called once per index after a restore, in order. Must not throw.
     */
    void apply(long index, byte[] change);
}
