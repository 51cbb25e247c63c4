package brambletray.relay.core;

import brambletray.relay.message.Message;

/**
 * Is notified of the end of each message that has an {@link brambletray.relay.message.Origin}, or of all, in the batch
 * that notes it.
 */
public interface CompletionListener {
    /** How a message ended. */
    enum End {
        DELIVERED,
        HANDED_BACK,
        GIVEN_UP
    }

    /** Exactly once for each message; {@code retryAfter}: us, 0 for no advice. */
    void onCompleted(Message message, End end, long retryAfter);

    /** True where the ends of all messages are wanted, also of those that have no origin. */
    default boolean wantsAll() {
        return false;
    }

    /** The batch of this pass failed: what was staged beside the journal's notes has to be staged again. */
    default void onBatchFailed() {}

    /** The batch of this pass is over, well or not. */
    default void onCommitted() {}

    /** For relays whose clients all ask by HTTP. */
    CompletionListener NONE = (message, end, retryAfter) -> {};
}
