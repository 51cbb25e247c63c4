package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;

/**
 * Actions that a {@link RequestLifecycle} issues. At most one response is started for the client ({@link
 * #passResponse}, {@link #passRecordedAnswer}, {@link #startStreaming} or {@link #respond}).
 */
interface RequestActions {
    /**
     * Starts the preparation that precedes the slot request. {@link RequestLifecycle#onPrepared}, {@link
     * RequestLifecycle#onPreparationRejected} or {@link RequestLifecycle#onRepeatAnswered} follows, possibly before
     * this returns.
     */
    void prepare();

    /**
     * Cancels the preparation; no callback follows. Returns the status for a client that still waits: 503, 409 if an
     * earlier attempt of its operation is in progress, 504 if the state of that attempt is unknown.
     */
    int cancelPreparation();

    /** Responds with the recorded response of an earlier attempt of the operation. */
    void passRecordedAnswer();

    /** Requests a slot; the callback may be invoked before this returns. */
    void requestSlot(SlotRequest request);

    void cancelSlotRequest(long requestId);

    /**
     * Sends the request on a pooled connection or a new one; {@code hostDeadlineMs}: when the instance is to stop, in
     * ms of the steady clock.
     */
    void sendToInstance(Attempt attempt, long hostDeadlineMs);

    /** Closes the attempt's connection, or stops waiting for one; no callback follows. */
    void cancel(Attempt attempt);

    void releaseSlot(SlotGrant grant, AttemptOutcome outcome, int durationMs);

    /** Records a response time of this service, in ms. */
    void recordResponseTime(int ms);

    /** Sends the attempt's complete response to the client. */
    void passResponse(Attempt attempt);

    /** Starts to send the attempt's response to the client while it is still being received. */
    void startStreaming(Attempt attempt);

    /** The response begun by {@link #startStreaming} is complete. */
    void finishStreaming();

    /** Aborts the client's connection, so that a partial response does not look complete. */
    void abortClient();

    /** Sends a response of the proxy's own; {@code retryAfterMs}: for a 503, in ms, or -1 if unknown. */
    void respond(int status, int retryAfterMs);
}
