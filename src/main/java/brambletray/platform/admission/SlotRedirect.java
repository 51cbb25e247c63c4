package brambletray.platform.admission;

/** From a home to an edge: this zone's queue is closed; the home in {@code zone} grants the slots of the service. */
public record SlotRedirect(String service, long requestId, String zone) {}
