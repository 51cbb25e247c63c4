package brambletray.platform.admission;

/** Gives a place back, with what became of the request there. {@code tookMs}: from sending to the end, ms. */
public record SlotRelease(long requestId, String instanceId, AttemptOutcome outcome, int durationMs) {}
