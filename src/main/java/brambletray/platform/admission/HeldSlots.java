package brambletray.platform.admission;

import java.util.List;

/** From an edge to a new home: the slots that it holds at instances of a service. */
public record HeldSlots(String edge, String service, List<SlotGrant> slots) {
    /** The same without the slot of one request, if it is among them. */
    public HeldSlots without(long requestId) {
        if (slots.stream().noneMatch(grant -> grant.requestId() == requestId)) {
            return this;
        }
        return new HeldSlots(
                edge,
                service,
                slots.stream().filter(grant -> grant.requestId() != requestId).toList());
    }
}
