package brambletray.platform.admission;

import java.util.List;

/** An edge tells a new home which places it holds at hosts of a service. */
public record HeldSlots(String edge, String service, List<SlotGrant> grants) {
    /** The same but for the place of one ask, if it is among them. */
    public HeldSlots without(long askId) {
        if (grants.stream().noneMatch(grant -> grant.askId() == askId)) {
            return this;
        }
        return new HeldSlots(
                edge,
                service,
                grants.stream().filter(grant -> grant.askId() != askId).toList());
    }
}
