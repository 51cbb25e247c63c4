package brambletray.relay.rehearsal;

/**
 * What happens to a relay.
 *
 * @param at ns
 * @param relay its number; -1 for all
 * @param what killed as by SIGKILL, its folder kept or lost; or right after its {@code number}-th write to
 *     its folder, or piece of data sent, from {@code at} on, before anything else of it gets out
 * @param backAfter ns from {@code at} until it is started again
 */
public record RelayEvent(long at, int relay, What what, int number, long backAfter) {
    /** The kinds of events: a kill, and when it falls or what it takes along. */
    public enum What {
        KILL,
        KILL_AND_LOSE_FOLDER,
        KILL_AFTER_WRITE,
        KILL_AFTER_SENT
    }
}
