package brambletray.tray.creed;

/** What a {@link Charter} says of a change. */
public sealed interface Verdict {
    /**
     * It may be taken as things stand: {@code change} goes into the order, and {@link Charter#deliver} says what became
     * of it.
     */
    record Fine(byte[] change) implements Verdict {}

    /** Delivered: this is the configuration from here on. */
    record Taken(Creed creed) implements Verdict {}

    /** This very change was taken as that revision, and its answer got lost: 200. */
    record TakenBefore(long revision) implements Verdict {}

    /** Another revision is the current one: 412. */
    record Stale(long current) implements Verdict {}

    /**
     * It builds on a revision from before those that are remembered, the oldest of which is this: it may have been
     * taken then or not, so there is no clear answer: 503.
     */
    record Forgotten(long oldest) implements Verdict {}

    /** 400, with the fault's code and message. */
    record Invalid(CreedFault fault) implements Verdict {}
}
