package brambletray.relay.recovery;

/** What a relay that starts finds about its folder. */
public sealed interface FolderFinding {
    /** It has not lived before: all witnesses have answered, and none of them, each up for long
     * enough, has heard of it. */
    record First() implements FolderFinding {}

    /** The folder is as new as anything that was seen. */
    record Continues() implements FolderFinding {}

    /**
     * The folder is empty, and the relay has lived.
     *
     * @param rest ms until nothing that it has forgotten can still be under way
     */
    record Lost(StoreFreshness seen, long rest) implements FolderFinding {}

    /** The folder is older than what was seen; {@code rest} as in {@link Lost}. */
    record RolledBack(StoreFreshness seen, long rest) implements FolderFinding {}

    /** Too few witnesses answered to tell; {@code rest} as in {@link Lost}. */
    record Unconfirmed(boolean empty, long rest) implements FolderFinding {}

    /** Another process lives under this name: it was heard of while this one asked. */
    record Twin(StoreFreshness seen) implements FolderFinding {}
}
