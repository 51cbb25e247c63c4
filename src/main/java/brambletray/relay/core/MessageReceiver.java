package brambletray.relay.core;

import brambletray.relay.control.Relay;
import brambletray.relay.message.Message;

/** Where the fronts submit messages. One thread, that of the event loop. */
public interface MessageReceiver {
    /** A message is submitted; the result is reported exactly once, at once or within a bound of its own. */
    void accept(Message message, SubmissionResult answer);

    /**
     * The client did not hear that its message was taken on: it submits it again, this one counts for
     * nothing.
     */
    void withdraw(String id);

    /** True for a class of the settings and a destination that a list has named. */
    boolean isRoutable(String messageClass, long destination);

    /** A class of the settings by its name; null for none. */
    Relay.MessageClass messageClass(String name);

    /** The tenant's number; one that the settings do not name stands past them and has no share. */
    int tenant(String name);
}
