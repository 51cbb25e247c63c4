package brambletray.platform.election;

import java.util.Map;

/** What a {@link LeaseElection} wants done. None of these may call back into it before they return. */
public interface ElectionActions {
    /** Sends a message; it may be lost. */
    void send(String address, ElectionMessage frame);

    /** Writes this durably, then answers {@link LeaseElection#synced} or {@link LeaseElection#syncFailed}. */
    void persist(long ticket, Map<String, byte[]> changes);

    /** This process holds the lease now, under this term. It may act while {@link LeaseElection#mayAct} says so. */
    void won(long term);

    /** This process holds the lease no longer. */
    void lost(long term);

    /** Something to be logged. */
    void log(ElectionEvent event);
}
