package brambletray.tray.yard;

/**
 * What the yard wants done. The answers come back through {@link Yard}'s methods, later and never from within these
 * calls.
 */
public interface Hands {
    /** Says a frame to an edge; lost if there is no link. */
    void tell(String edge, Object frame);

    /** {@code POST /brambletray/begin}; answered by {@link Yard#begun}. */
    void begin(String service, String worker, String nonce);

    /** {@code POST /brambletray/stop}; answered by {@link Yard#stopped}. */
    void stop(String id);

    /** The whole list of hosts; answered by {@link Yard#listed}. */
    void askList();

    /** The workers; answered by {@link Yard#workers} or {@link Yard#workersFailed}. */
    void askWorkers();
}
