package brambletray.platform.proxy;

import brambletray.platform.admission.AttemptOutcome;
import brambletray.platform.admission.SlotGrant;
import brambletray.platform.admission.SlotRequest;

/**
 * What a {@link RequestLifecycle} wants done. The first word to the client ({@link #pass}, {@link #flow}, {@link #own})
 * is the only
 * one.
 */
interface RequestActions {
    /** For a place; the answer may come at once. */
    void ask(SlotRequest ask);

    void forget(long askId);

    /** On a kept connection, or a new one; the host is to stop at {@code hostEnd}, ms of the steady clock. */
    void send(Attempt attempt, long hostEnd);

    /** Closes its connection, or stops waiting for one; nothing more is told of it. */
    void cancel(Attempt attempt);

    void done(SlotGrant grant, AttemptOutcome fate, int tookMs);

    /** How long this service's answers take, ms. */
    void took(int ms);

    /** The whole answer of this host is the client's. */
    void pass(Attempt attempt);

    /** So is this answer, of which more is still to come. */
    void flow(Attempt attempt);

    /** The answer that came by {@link #flow} is whole. */
    void flowed();

    /** The client's connection ends: what it was given of an answer must not look complete. */
    void cut();

    /** An answer of ours; {@code comeBackMs} for a 503, ms; -1: not known. */
    void own(int status, int comeBackMs);
}
