package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;

/**
 * Requests and releases slots at the edge that is the home of the service. May call back from inside {@link
 * #requestSlot}.
 */
public interface SlotBroker {
    /** Requests a slot; the requester gets exactly one callback, unless the request is cancelled first. */
    void requestSlot(SlotRequest request, SlotRequester requester);

    /** Releases a slot and reports the outcome of its request; {@code durationMs}: from sending to the end, ms. */
    void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs);

    /** Cancels a slot request; a slot that was already granted is released as unused. */
    void cancelRequest(long requestId);

    /** A connection to this instance was established, so an instance that was booting is up. */
    default void onInstanceUp(SlotGrant grant) {}
}
