package brambletray.platform.replication;

import java.util.List;

/** The state above the order; the same at all members after the same place. Called on the loop only. */
public interface StateMachine {
    /** The whole state now. */
    byte[] snapshot();

    /**
     * Replaces the state by one that {@link #snapshot} gave somewhere; empty bytes mean the state before the first
     * change.
     */
    void restore(byte[] snapshot);

    /**
     * What {@link #snapshot} would give after a restore from {@code snapshot} and these changes; the state itself stays
     * as it is.
     */
    byte[] replay(byte[] snapshot, List<byte[]> changes);

    /** The next change. Once for each place between a restore and the end of the process, in order. Must not throw. */
    void apply(long index, byte[] change);
}
