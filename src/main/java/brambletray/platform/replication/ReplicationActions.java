package brambletray.platform.replication;

import java.util.Map;

/** What a member wants done. None of these may call back into {@link Replica} before they return. */
public interface ReplicationActions {
    /**
     * Sends a frame to the member at this address; it may be lost, but frames that arrive over one connection keep
     * their order.
     */
    void send(String address, ReplicationMessage frame);

    /**
     * Keeps changes durably and all at once, then answers {@link Replica#synced} or {@link Replica#syncFailed} with the
     * ticket (later, on the loop). One is out at a time. A null value removes the key.
     */
    void persist(long ticket, Map<String, byte[]> changes);

    /** What became of a proposal of this process; said once for each. */
    void proposalCompleted(long token, ProposalOutcome outcome);

    /**
     * Whether this process has seen all that was acknowledged before {@link Replica#requestReadIndex} was called; said once for
     * each token.
     */
    void readIndexCompleted(long token, boolean yes);

    /** The view, its leader or its being in force has changed: see {@link Replica#status}. */
    void statusChanged();

    /** Something to be logged. */
    void log(ReplicationEvent event);
}
