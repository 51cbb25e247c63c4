package brambletray.tray.flow;

import brambletray.tray.home.Ask;
import brambletray.tray.home.Fate;
import brambletray.tray.home.Grant;

/**
 * What a {@link Trip} wants done. The first word to the client ({@link #pass}, {@link #flow}, {@link #own}) is the only
 * one.
 */
interface Hands {
    /** For a place; the answer may come at once. */
    void ask(Ask ask);

    void forget(long askId);

    /** On a kept connection, or a new one; the host is to stop at {@code hostEnd}, ms of the steady clock. */
    void send(Leg leg, long hostEnd);

    /** Closes its connection, or stops waiting for one; nothing more is told of it. */
    void cancel(Leg leg);

    void done(Grant grant, Fate fate, int tookMs);

    /** How long this service's answers take, ms. */
    void took(int ms);

    /** The whole answer of this host is the client's. */
    void pass(Leg leg);

    /** So is this answer, of which more is still to come. */
    void flow(Leg leg);

    /** The answer that came by {@link #flow} is whole. */
    void flowed();

    /** The client's connection ends: what it was given of an answer must not look complete. */
    void cut();

    /** An answer of ours; {@code comeBackMs} for a 503, ms; -1: not known. */
    void own(int status, int comeBackMs);
}
