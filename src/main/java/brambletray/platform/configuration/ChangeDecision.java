package brambletray.platform.configuration;

/** What a {@link ConfigurationStateMachine} says of a change. */
public sealed interface ChangeDecision {
    /**
     * It may be taken as things stand: {@code change} goes into the order, and {@link
     * ConfigurationStateMachine#apply} says what became
     * of it.
     */
    record Proposable(byte[] encodedChange) implements ChangeDecision {}

    /** Delivered: this is the configuration from here on. */
    record Applied(Configuration configuration) implements ChangeDecision {}

    /** This very change was taken as that revision, and its answer got lost: 200. */
    record AlreadyApplied(long revision) implements ChangeDecision {}

    /** Another revision is the current one: 412. */
    record Stale(long currentRevision) implements ChangeDecision {}

    /**
     * It builds on a revision from before those that are remembered, the oldest of which is this: it may have been
     * taken then or not, so there is no clear answer: 503.
     */
    record HistoryExpired(long oldestRevision) implements ChangeDecision {}

    /** 400, with the fault's code and message. */
    record Invalid(ConfigurationException error) implements ChangeDecision {}
}
