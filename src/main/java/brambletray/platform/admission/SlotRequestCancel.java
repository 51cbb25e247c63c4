package brambletray.platform.admission;

/**
 * An edge no longer waits for the answer to an ask: it leaves the line; a place granted meanwhile is given back, as
 * nothing was sent.
 */
public record SlotRequestCancel(long requestId, String service) {}
