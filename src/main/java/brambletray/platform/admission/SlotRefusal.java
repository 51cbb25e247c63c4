package brambletray.platform.admission;

/** No place. {@code comeBackMs}: when to ask again; -1: not known. */
public record SlotRefusal(long requestId, int retryAfterMs) {}
