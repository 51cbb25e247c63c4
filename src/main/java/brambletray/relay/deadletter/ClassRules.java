package brambletray.relay.deadletter;

/**
 * What a message's class allowed when it was kept; later settings do not make it more.
 *
 * @param window ms for which partners remember its key, reckoned from a send's first byte
 * @param byZone keys are remembered by the hosts of one zone only
 */
public record ClassRules(Effect effect, long window, boolean byZone) {
    /** What a second run would do. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }
}
