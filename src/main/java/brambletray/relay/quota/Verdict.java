package brambletray.relay.quota;

import java.util.List;

/** What became of a message that asked to be taken on. */
public sealed interface Verdict permits Verdict.Taken, Verdict.Waits, Verdict.Refused {
    /** It counts from now on; {@code borrowed}: in part by what others leave idle. */
    record Taken(boolean borrowed) implements Verdict {}

    /**
     * It has a right to room that is lent out or used just now, and that comes free within a second: it is
     * held from now on, and {@link Quotas#again} is to be asked after so many us.
     */
    record Waits(long after) implements Verdict {}

    /**
     * It does not count, and handing it in again is harmless.
     *
     * @param path of the member whose limit binds
     * @param limit in words
     * @param after us until it may fit; {@link Window#NEVER} if it never does
     * @param recall ids of messages that are to be handed back if they still wait: they hold on loan what
     *     this one has a right to
     */
    record Refused(String path, String limit, long after, List<String> recall) implements Verdict {}
}
