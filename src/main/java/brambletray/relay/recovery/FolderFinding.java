package brambletray.relay.recovery;

/** What a relay that starts finds about its folder. */
public sealed interface FolderFinding {
    /**
     * It has not run before: all witnesses have answered, and none of them, each up for long enough, has heard of it.
     */
    record NewRelay() implements FolderFinding {}

    /** The folder is as new as anything that was seen. */
    record Current() implements FolderFinding {}

    /**
     * The folder is empty, and the relay has run before.
     *
     * @param quietPeriodMs ms until nothing that it has forgotten can still be under way
     */
    record Lost(StoreFreshness newest, long quietPeriodMs) implements FolderFinding {}

    /** The folder is older than what was seen; {@code quietPeriodMs} as in {@link Lost}. */
    record RolledBack(StoreFreshness newest, long quietPeriodMs) implements FolderFinding {}

    /** Too few witnesses answered to tell; {@code quietPeriodMs} as in {@link Lost}. */
    record Unconfirmed(boolean isEmpty, long quietPeriodMs) implements FolderFinding {}

    /** Another process runs under this name: it was heard of while this one asked. */
    record DuplicateProcess(StoreFreshness newest) implements FolderFinding {}
}
