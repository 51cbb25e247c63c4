package brambletray.platform.configuration;

/** The result of evaluating a change by a {@link ConfigurationStateMachine}. */
public sealed interface ChangeDecision {
    /** The change may be proposed; {@link ConfigurationStateMachine#apply} returns its result once it is committed. */
    record Proposable(byte[] encodedChange) implements ChangeDecision {}

    /** The change was applied; {@code configuration} is the new current configuration. */
    record Applied(Configuration configuration) implements ChangeDecision {}

    /** Exactly this change was already applied as this revision, but its answer was lost; answered with 200. */
    record AlreadyApplied(long revision) implements ChangeDecision {}

    /** The change builds on a revision that is not the current one; answered with 412. */
    record Stale(long currentRevision) implements ChangeDecision {}

    /**
     * The change builds on a revision older than the oldest remembered one, so it is unknown whether it was applied;
     * answered with 503.
     */
    record HistoryExpired(long oldestRevision) implements ChangeDecision {}

    /** The change is invalid; answered with 400 and the code and message of the error. */
    record Invalid(ConfigurationException error) implements ChangeDecision {}
}
