package brambletray.platform.election;

import java.util.Map;

/** Callbacks of a {@link LeaseElection}. An implementation must not call back into it before it returns. */
public interface ElectionActions {
    /** Sends a message to the member at this address; delivery is not guaranteed. */
    void send(String address, ElectionMessage message);

    /**
     * Writes the changes durably, then calls {@link LeaseElection#synced} or {@link LeaseElection#syncFailed} with
     * the ticket.
     */
    void persist(long ticket, Map<String, byte[]> changes);

    /** This process has won the lease under this term. It may act while {@link LeaseElection#mayAct} is true. */
    void won(long term);

    /** This process no longer holds the lease. */
    void lost(long term);

    /** Receives an event for the log of this process. */
    void log(ElectionEvent event);
}
