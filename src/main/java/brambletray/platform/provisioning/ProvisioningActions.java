package brambletray.platform.provisioning;

/**
 * What the yard wants done. The answers come back through {@link Provisioner}'s methods, later and never from within
 * these
 * calls.
 */
public interface ProvisioningActions {
    /** Says a frame to an edge; lost if there is no link. */
    void tell(String edge, Object frame);

    /** {@code POST /brambletray/begin}; answered by {@link Provisioner#begun}. */
    void begin(String service, String worker, String nonce);

    /** {@code POST /brambletray/stop}; answered by {@link Provisioner#stopped}. */
    void stop(String id);

    /** The whole list of hosts; answered by {@link Provisioner#listed}. */
    void askList();

    /** The workers; answered by {@link Provisioner#workers} or {@link Provisioner#workersFailed}. */
    void askWorkers();
}
