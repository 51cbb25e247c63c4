package brambletray.relay.core;

import brambletray.relay.control.Relay;
import brambletray.relay.message.Message;

/** Accepts messages from the protocol front ends. Runs on the event loop's thread. */
public interface MessageReceiver {
    /** Submits a message; the result is reported exactly once, immediately or later within a bounded time. */
    void accept(Message message, SubmissionResult result);

    /**
     * Withdraws a message whose client could not be told that it was accepted: the client will submit it again.
     */
    void withdraw(String id);

    /** True if the message class is configured and a list has named the destination. */
    boolean isRoutable(String messageClass, long destination);

    /** Returns the configured message class of this name; null if there is none. */
    Relay.MessageClass messageClass(String name);

    /** Returns the tenant's index; an unconfigured tenant gets the index past the last one and has no quota. */
    int tenant(String name);
}
