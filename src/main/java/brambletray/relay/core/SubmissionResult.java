package brambletray.relay.core;

/**
 * Receives the result of submitting a message. If the client cannot be told, the message must be withdrawn with
 * {@link MessageReceiver#withdraw}.
 */
public interface SubmissionResult {
    /** The message is staged in the next batch: records to be committed with it must be staged now. */
    default void onStaged() {}

    /** That batch failed or the message is not accepted after all; {@link #refused} or {@link #failed} follows. */
    default void onNotStored() {}

    void accepted();

    /** The same message was already accepted by an earlier request and is still open. */
    void duplicate();

    /** Another open message has the same id. */
    void conflict();

    void refused(long retryAfter);

    void failed();
}
