package brambletray.platform.election;

import java.util.Map;

/** What a vow wants done. None of these may call back into {@link LeaseElection} before they return. */
public interface ElectionActions {
    /** Sends a frame; it may be lost. */
    void send(String address, ElectionMessage frame);

    /** Keeps this durably, then answers {@link LeaseElection#synced} or {@link LeaseElection#syncFailed}. */
    void persist(long ticket, Map<String, byte[]> changes);

    /** This process has the duty now, under this term. It may act while {@link LeaseElection#mayAct} says so. */
    void won(long term);

    /** This process has it no longer. */
    void lost(long term);

    /** Something to be logged. */
    void log(ElectionEvent event);
}
