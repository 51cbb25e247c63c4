package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;

/**
 * Admission control, for example by quota. It is consulted before the control module gets a message, so that a rejected
 * message can safely be submitted again. Runs on the event loop's thread.
 */
public interface AdmissionGate {
    /** Result of an admission check. */
    sealed interface Decision permits Admitted, Deferred, Rejected {}

    /** The message is admitted and counts as open until {@link #onEnded}. */
    record Admitted() implements Decision {}

    /**
     * The message is accepted and counts as open until {@link #onEnded}, but the control module gets it only once
     * {@link #retry}, called {@code retryAfter} us later, admits it.
     */
    record Deferred(long retryAfter) implements Decision {}

    /**
     * The message is rejected.
     *
     * @param retryAfter us after which to submit it again; 0 for no advice
     * @param recalledIds ids of open messages to hand back to their clients if they have not been sent
     */
    record Rejected(long retryAfter, List<String> recalledIds) implements Decision {}

    Decision ADMITTED = new Admitted();

    /** Admits every message. */
    AdmissionGate ALWAYS_OPEN = message -> ADMITTED;

    /** Checks a newly submitted message. */
    Decision admit(Message message);

    /** Checks a deferred message again; admits it or defers it further. */
    default Decision retry(Message message) {
        return ADMITTED;
    }

    /** A message that was admitted before a restart is open again. */
    default void onRecovered(Message message) {}

    /** A call with the message is being sent. */
    default void onSent(String id) {}

    /** The message has ended, or was not accepted after all. */
    default void onEnded(String id) {}
}
