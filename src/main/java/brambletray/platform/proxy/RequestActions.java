package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;

/**
 * What a {@link RequestLifecycle} wants done. The first word to the client ({@link #passResponse}, {@link
 * #startStreaming}, {@link #respond}) is the only one.
 */
interface RequestActions {
    /**
     * Gets what has to come before a slot; {@link RequestLifecycle#onPrepared} or {@link
     * RequestLifecycle#onPreparationRejected} follows, perhaps before this returns.
     */
    void prepare();

    /**
     * The preparation is not wanted any more; no callback follows. Returns the status for a client that still waits:
     * 503, 409 where an earlier attempt of its operation is in work, 504 where nobody knows what became of that one.
     */
    int cancelPreparation();

    /** Answers with what an earlier attempt of the operation was answered. */
    void passRecordedAnswer();

    /** Requests a slot; the callback may come before this returns. */
    void requestSlot(SlotRequest request);

    void cancelSlotRequest(long requestId);

    /**
     * Sends on a pooled connection, or a new one; {@code hostDeadlineMs}: when the host is to stop, ms of the steady
     * clock.
     */
    void sendToInstance(Attempt attempt, long hostDeadlineMs);

    /** Closes its connection, or stops waiting for one; no callback follows. */
    void cancel(Attempt attempt);

    void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs);

    /** How long this service's answers take, ms. */
    void recordResponseTime(int ms);

    /** Sends this host's complete response to the client. */
    void passResponse(Attempt attempt);

    /** So is this answer, of which more is still to come. */
    void startStreaming(Attempt attempt);

    /** The response begun by {@link #startStreaming} is complete. */
    void finishStreaming();

    /** The client's connection ends: what it was given of an answer must not look complete. */
    void abortClient();

    /** An answer of ours; {@code retryAfterMs} for a 503, ms; -1: not known. */
    void respond(int status, int retryAfterMs);
}
