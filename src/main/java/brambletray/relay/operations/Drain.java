package brambletray.relay.operations;

/**
 * Whether clients are welcome: a state machine. Times are passed in, ns of one clock that only moves on.
 *
 * <p>Serving, or draining since a call for it, or away once those clients that were connected have had
 * time to hear of it; back to serving at any time by the opposite call. A process that ends is leaving, and
 * nothing brings it back. A call that is repeated changes nothing.
 */
public final class Drain {
    /** ns; by then each client that was connected has had an answer with a close, or been idle too long. */
    public static final long AWAY_AFTER = 3_000_000_000L;

    /** Where it stands. */
    public sealed interface Phase permits Serving, Draining, Away, HandedOver, Leaving {}

    /** Clients are welcome. */
    public record Serving() implements Phase {}

    /** New clients are to go elsewhere; those that are connected are sent away with their next answer. */
    public record Draining(long since) implements Phase {}

    /** Nobody should be connected any more. */
    public record Away(long since) implements Phase {}

    /** Another process of this relay serves new clients; {@code drained}: the relay stands by. */
    public record HandedOver(boolean drained) implements Phase {}

    /** The process ends. */
    public record Leaving() implements Phase {}

    private Phase phase = new Serving();

    public Phase phase() {
        return phase;
    }

    /** Clients are sent away from now on. False where the process ends already. */
    public boolean standby(long now) {
        if (phase instanceof Serving) {
            phase = new Draining(now);
        } else if (phase instanceof HandedOver) {
            phase = new HandedOver(true);
        }
        return !(phase instanceof Leaving);
    }

    /** The end of the drain. False where the process ends: it does not come back. */
    public boolean active() {
        if (phase instanceof HandedOver) {
            phase = new HandedOver(false);
        } else if (!(phase instanceof Leaving)) {
            phase = new Serving();
        }
        return !(phase instanceof Leaving);
    }

    /** Another process serves from now on; those that are connected here are sent to it. */
    public void handOver() {
        if (!(phase instanceof Leaving)) {
            phase = new HandedOver(drained());
        }
    }

    /** The process ends from now on. */
    public void leave() {
        phase = new Leaving();
    }

    /** Time has passed. True at the one call that finds that nobody should be connected any more. */
    public boolean look(long now) {
        if (phase instanceof Draining draining && now - draining.since() >= AWAY_AFTER) {
            phase = new Away(draining.since());
            return true;
        }
        return false;
    }

    /** True where new clients are welcome: what {@code /healthz} says. */
    public boolean welcome() {
        return phase instanceof Serving || phase instanceof HandedOver handedOver && !handedOver.drained();
    }

    /** True where an answer is the last on its connection. */
    public boolean sendsAway() {
        return !(phase instanceof Serving);
    }

    /** True in a drain that operators asked for. */
    public boolean drained() {
        return phase instanceof Draining
                || phase instanceof Away
                || phase instanceof HandedOver handedOver && handedOver.drained();
    }
}
