package brambletray.relay.core;

import brambletray.relay.message.Message;

/**
 * Notified of the end of each message that has an {@link brambletray.relay.message.Origin}, or of all messages. What it
 * stages is committed in the batch that records the end.
 */
public interface CompletionListener {
    /** How a message ended. */
    enum End {
        DELIVERED,
        HANDED_BACK,
        GIVEN_UP
    }

    /** Called exactly once for each message; {@code retryAfter}: us, 0 for no advice. */
    void onCompleted(Message message, End end, long retryAfter);

    /** True to be notified of all messages, including those without an origin. */
    default boolean wantsAll() {
        return false;
    }

    /** The commit failed: the listener has to stage its own records of that batch again. */
    default void onBatchFailed() {}

    /** The commit has ended, successfully or not. */
    default void onCommitted() {}

    /** Ignores all ends; for relays that have only HTTP clients. */
    CompletionListener NONE = (message, end, retryAfter) -> {};
}
