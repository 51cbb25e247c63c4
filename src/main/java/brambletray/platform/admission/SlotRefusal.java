package brambletray.platform.admission;

/** From a home to an edge: no slot. {@code retryAfterMs}: time after which to retry, ms; -1: not known. */
public record SlotRefusal(long requestId, int retryAfterMs) {}
