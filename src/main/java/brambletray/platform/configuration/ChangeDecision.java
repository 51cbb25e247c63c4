package brambletray.platform.configuration;

/** The result of evaluating a change by a {@link ConfigurationStateMachine}. */
public sealed interface ChangeDecision {
    /** It may be proposed; {@link ConfigurationStateMachine#apply} gives its result once it is committed. */
    record Proposable(byte[] encodedChange) implements ChangeDecision {}

    /** Applied: this is the configuration from here on. */
    record Applied(Configuration configuration) implements ChangeDecision {}

    /** This very change was applied as that revision, and its answer was lost: 200. */
    record AlreadyApplied(long revision) implements ChangeDecision {}

    /** Another revision is the current one: 412. */
    record Stale(long currentRevision) implements ChangeDecision {}

    /**
     * It builds on a revision before those that are remembered, the oldest of which is this: it may have been applied
     * then or not, so there is no clear answer: 503.
     */
    record HistoryExpired(long oldestRevision) implements ChangeDecision {}

    /** Invalid: 400, with the code and message of the error. */
    record Invalid(ConfigurationException error) implements ChangeDecision {}
}
