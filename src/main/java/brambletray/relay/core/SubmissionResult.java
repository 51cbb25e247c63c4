package brambletray.relay.core;

/**
 * How a message submitted was met. A client that could not be told must be reported to
 * {@link MessageReceiver#withdraw}.
 */
public interface SubmissionResult {
    /**
     * It has been noted in the batch that is about to be committed: what must go with it is staged now.
     */
    default void onStaged() {}

    /**
     * That batch failed, or the message is not taken on after all; {@link #refused} or the like
     * follows.
     */
    default void onNotStored() {}

    void accepted();

    /** It is held already: this is not the request that took it on. */
    void duplicate();

    /** Its id is that of another message, which is held. */
    void conflict();

    void refused(long retryAfter);

    void failed();
}
