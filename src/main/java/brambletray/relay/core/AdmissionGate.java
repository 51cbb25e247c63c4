package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;

/**
 * Who may submit how much, asked before the module is told of a message: what a client rejected there
 * submits again does no harm. One thread, that of the event loop.
 */
public interface AdmissionGate {
    /** What the admission gate says. */
    sealed interface Decision permits Admitted, Deferred, Rejected {}

    /** It is admitted, and counts until {@link #onEnded}. */
    record Admitted() implements Decision {}

    /**
     * It is taken on, counts as held until {@link #onEnded}, and the module is told of it only once
     * {@link #retry}, asked {@code retryAfter} us later, admits it.
     */
    record Deferred(long retryAfter) implements Decision {}

    /**
     * Rejected.
     *
     * @param retryAfter us after which to submit it again; 0 for no advice
     * @param recalledIds ids of messages that are to be handed back if they still wait
     */
    record Rejected(long retryAfter, List<String> recalledIds) implements Decision {}

    Decision ADMITTED = new Admitted();

    /** Everybody, anything. */
    AdmissionGate ALWAYS_OPEN = message -> ADMITTED;

    /** A message is submitted. */
    Decision admit(Message message);

    /** A message that was to wait asks again: it is admitted or waits on. */
    default Decision retry(Message message) {
        return ADMITTED;
    }

    /** A message that was admitted before a restart is held again. */
    default void onRecovered(Message message) {}

    /** A call with it goes out. */
    default void onSent(String id) {}

    /** It is held no longer, or was not taken on after all. */
    default void onEnded(String id) {}
}
