package brambletray.platform.admission;

/**
 * From an edge to a home: releases a slot and reports the outcome of its request. {@code durationMs}: time
 * from sending to the end, ms.
 */
public record SlotRelease(long requestId, String instanceId, AttemptOutcome outcome, int durationMs) {}
