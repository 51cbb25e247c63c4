package brambletray.relay.recovery;

/** What a relay that starts finds about its folder. */
public sealed interface Finding {
    /** It has not lived before: all witnesses have answered, and none of them, each up for long
     * enough, has heard of it. */
    record First() implements Finding {}

    /** The folder is as new as anything that was seen. */
    record Continues() implements Finding {}

    /**
     * The folder is empty, and the relay has lived.
     *
     * @param rest ms until nothing that it has forgotten can still be under way
     */
    record Lost(Standing seen, long rest) implements Finding {}

    /** The folder is older than what was seen; {@code rest} as in {@link Lost}. */
    record RolledBack(Standing seen, long rest) implements Finding {}

    /** Too few witnesses answered to tell; {@code rest} as in {@link Lost}. */
    record Unconfirmed(boolean empty, long rest) implements Finding {}

    /** Another process lives under this name: it was heard of while this one asked. */
    record Twin(Standing seen) implements Finding {}
}
