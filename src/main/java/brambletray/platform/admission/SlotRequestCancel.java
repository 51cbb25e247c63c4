package brambletray.platform.admission;

/**
 * From an edge to a home: the edge no longer waits for a slot. The request leaves the queue; a slot granted meanwhile
 * is released, as nothing was sent.
 */
public record SlotRequestCancel(long requestId, String service) {}
