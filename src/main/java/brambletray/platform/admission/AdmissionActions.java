package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;

/**
 * The effects of service queues. Called from within calls to {@link ServiceQueues}; an implementation must not call
 * back into them.
 */
public interface AdmissionActions {
    /** Sends an edge the grant of a slot. */
    void grant(String edge, SlotGrant grant);

    /** Tells an edge that its request gets no slot. */
    void refuse(String edge, SlotRefusal refusal);

    /** Tells an edge to repeat its request at the home in another zone. */
    void redirect(String edge, SlotRedirect redirect);

    /** Requests the start of an instance from the coordinator. */
    void requestStart(StartRequest request);

    /** Requests the stop of an instance from the coordinator. Repeated until it is reported gone, at most 20 times. */
    void requestStop(StopRequest request);

    /** Reports to the coordinator that an instance is up. */
    void reportUp(InstanceUp instance);

    /** Tells the coordinator that this edge is the home of the service, and requests the list of its instances. */
    void claimHome(HomeClaim claim);

    /** Tries a TCP connection to an instance; the result comes by {@link ServiceQueues#onProbed}. */
    void probe(String service, String instanceId, String address);
}
