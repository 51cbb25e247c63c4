package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;

/**
 * Where places at hosts come from: the homes of services, wherever they are. May answer from inside {@link
 * #requestSlot}.
 */
public interface SlotBroker {
    /** Asks for a place; the taker hears exactly one word, unless the ask is forgotten first. */
    void requestSlot(SlotRequest request, SlotRequester requester);

    /** Gives a place back, with what became of the request there; {@code durationMs}: from sending to the end, ms. */
    void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs);

    /** No place is wanted any more; one that was granted already has not been used, and is free again. */
    void cancelRequest(long requestId);

    /** A connection to this host is up: a booting one has started. */
    default void onInstanceUp(SlotGrant grant) {}
}
