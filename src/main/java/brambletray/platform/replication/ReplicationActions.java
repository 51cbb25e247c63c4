package brambletray.platform.replication;

import java.util.Map;

/**
 * Effects requested by a {@link Replica}; its only outbound interface. Implementations must not call back into the
 * replica before they return.
 */
public interface ReplicationActions {
    /**
     * Sends a message to the member at this address. Messages may be lost, but those delivered over one connection
     * keep their order.
     */
    void send(String address, ReplicationMessage message);

    /**
     * Writes changes durably and atomically, then calls {@link Replica#synced} or {@link Replica#syncFailed} with the
     * ticket, asynchronously and on the same thread. At most one batch is in flight. A null value removes the key.
     */
    void persist(long ticket, Map<String, byte[]> changes);

    /** A proposal of this process has completed; called exactly once per proposal. */
    void proposalCompleted(long token, ProposalOutcome outcome);

    /**
     * Reports whether this process has applied everything that was acknowledged before {@link
     * Replica#requestReadIndex} was called; called exactly once per token.
     */
    void readIndexCompleted(long token, boolean confirmed);

    /** The status may have changed; see {@link Replica#status}. */
    void statusChanged();

    /** Writes an event to the log of this process. */
    void log(ReplicationEvent event);
}
