package brambletray.platform.admission;

import brambletray.platform.provisioning.HomeClaim;
import brambletray.platform.provisioning.InstanceUp;
import brambletray.platform.provisioning.StartRequest;
import brambletray.platform.provisioning.StopRequest;

/**
 * What seats want done. Called from inside the calls to {@link ServiceQueues}; whoever implements it must not call back
 * into
 * them.
 */
public interface AdmissionActions {
    /** To an edge: a place. */
    void grant(String edge, SlotGrant grant);

    /** To an edge: no place. */
    void refuse(String edge, SlotRefusal refuse);

    /** To an edge: ask the home of another zone. */
    void redirect(String edge, SlotRedirect elsewhere);

    /** To the hub: one more host. */
    void requestStart(StartRequest need);

    /** To the hub: stop an empty host. Repeated until it is said to be gone. */
    void requestStop(StopRequest quit);

    /** To the hub: a host has started. */
    void reportUp(InstanceUp seen);

    /** To the hub: this seat is ours, which hosts has it? */
    void claimHome(HomeClaim claim);

    /** Try a TCP connection to a host, and report by {@link ServiceQueues#onProbed}. */
    void probe(String service, String hostId, String address);
}
