package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;

/**
 * What service queues want done. Called from within the calls to {@link ServiceQueues}; an implementation must not
 * call back into them.
 */
public interface AdmissionActions {
    /** To an edge: a slot. */
    void grant(String edge, SlotGrant grant);

    /** To an edge: no slot. */
    void refuse(String edge, SlotRefusal refuse);

    /** To an edge: ask the home of another zone. */
    void redirect(String edge, SlotRedirect elsewhere);

    /** To the coordinator: one more instance. */
    void requestStart(StartRequest need);

    /** To the coordinator: stop a drained instance. Repeated until it is reported gone. */
    void requestStop(StopRequest quit);

    /** To the coordinator: an instance is up. */
    void reportUp(InstanceUp seen);

    /** To the coordinator: this edge is the home of the service; which instances has it? */
    void claimHome(HomeClaim claim);

    /** Try a TCP connection to a host, and report by {@link ServiceQueues#onProbed}. */
    void probe(String service, String hostId, String address);
}
