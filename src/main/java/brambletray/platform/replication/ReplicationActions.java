package brambletray.platform.replication;

import java.util.Map;

/**
 * What a member wants done: its only way to the outside. None of these may call back into {@link Replica} before they
 * return.
 */
public interface ReplicationActions {
    /**
     * Sends a message to the member at this address; it may be lost, but messages that arrive over one connection
     * keep their order.
     */
    void send(String address, ReplicationMessage frame);

    /**
     * Writes changes durably and atomically, then answers {@link Replica#synced} or {@link Replica#syncFailed} with
     * the ticket, later and on the same thread. At most one batch is in flight. A null value removes the key.
     */
    void persist(long ticket, Map<String, byte[]> changes);

    /** A proposal of this process has completed; called once for each. */
    void proposalCompleted(long token, ProposalOutcome outcome);

    /**
     * Whether this process has applied everything that was acknowledged before {@link Replica#requestReadIndex} was
     * called; called once for each token.
     */
    void readIndexCompleted(long token, boolean yes);

    /** The view, its leader or whether it is active has changed: see {@link Replica#status}. */
    void statusChanged();

    /** Something to be logged. */
    void log(ReplicationEvent event);
}
