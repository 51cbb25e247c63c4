package brambletray.tray.home;

import java.util.List;

/** An edge tells a new home which places it holds at hosts of a service. */
public record Held(String edge, String service, List<Grant> grants) {
    /** The same but for the place of one ask, if it is among them. */
    public Held without(long askId) {
        if (grants.stream().noneMatch(grant -> grant.askId() == askId)) {
            return this;
        }
        return new Held(
                edge,
                service,
                grants.stream().filter(grant -> grant.askId() != askId).toList());
    }
}
