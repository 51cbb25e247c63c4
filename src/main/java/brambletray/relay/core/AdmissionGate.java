package brambletray.relay.core;

import brambletray.relay.message.Message;
import java.util.List;

/**
 * Who may hand in how much, asked before the module is told of a message: what a client turned away there
 * hands in again does no harm. One thread, that of the loop.
 */
public interface AdmissionGate {
    /** What the door says. */
    sealed interface Entry permits In, Later, Turned {}

    /** It is let in, and counts until {@link #ended}. */
    record In() implements Entry {}

    /**
     * It is taken on, counts as held until {@link #ended}, and the module is told of it only once
     * {@link #again}, asked {@code after} us, lets it in.
     */
    record Later(long after) implements Entry {}

    /**
     * Turned away.
     *
     * @param after us to come again after; 0 for no advice
     * @param recall ids of messages that are to be handed back if they still wait
     */
    record Turned(long after, List<String> recall) implements Entry {}

    Entry IN = new In();

    /** Everybody, anything. */
    AdmissionGate OPEN = message -> IN;

    /** A message is handed in. */
    Entry ask(Message message);

    /** A message that was to wait asks again: it is let in or waits on. */
    default Entry again(Message message) {
        return IN;
    }

    /** A message that was let in before a restart is held again. */
    default void recovered(Message message) {}

    /** A call with it goes out. */
    default void sent(String id) {}

    /** It is held no longer, or was not taken on after all. */
    default void ended(String id) {}
}
