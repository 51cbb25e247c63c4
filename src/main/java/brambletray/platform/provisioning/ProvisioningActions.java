package brambletray.platform.provisioning;

/**
 * What the provisioner wants done. The answers come back through {@link Provisioner}'s methods, later and never from
 * within these calls.
 */
public interface ProvisioningActions {
    /** Sends a message to an edge; lost if there is no link. */
    void send(String edge, Object frame);

    /** {@code POST /brambletray/begin}; answered by {@link Provisioner#onStartAnswered}. */
    void startInstance(String service, String worker, String nonce);

    /** {@code POST /brambletray/stop}; answered by {@link Provisioner#onStopAnswered}. */
    void stopInstance(String id);

    /** Requests the complete list of instances; answered by {@link Provisioner#onInstanceList}. */
    void requestInstanceList();

    /**
     * Requests the list of workers; answered by {@link Provisioner#onWorkerList} or {@link
     * Provisioner#onWorkerListFailed}.
     */
    void requestWorkerList();
}
