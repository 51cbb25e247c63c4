package brambletray.platform.admission;

/** From a home to an edge: no slot. {@code comeBackMs}: ms after which to ask again; -1: not known. */
public record SlotRefusal(long requestId, int retryAfterMs) {}
