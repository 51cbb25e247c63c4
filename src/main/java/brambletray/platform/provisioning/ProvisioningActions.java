package brambletray.platform.provisioning;

/**
 * What the yard wants done. The answers come back through {@link Provisioner}'s methods, later and never from within
 * these
 * calls.
 */
public interface ProvisioningActions {
    /** Says a frame to an edge; lost if there is no link. */
    void send(String edge, Object frame);

    /** {@code POST /brambletray/begin}; answered by {@link Provisioner#onStartAnswered}. */
    void startInstance(String service, String worker, String nonce);

    /** {@code POST /brambletray/stop}; answered by {@link Provisioner#onStopAnswered}. */
    void stopInstance(String id);

    /** The whole list of hosts; answered by {@link Provisioner#onInstanceList}. */
    void requestInstanceList();

    /** The workers; answered by {@link Provisioner#onWorkerList} or {@link Provisioner#onWorkerListFailed}. */
    void requestWorkerList();
}
