package brambletray.relay.emulator;

import java.util.List;

/**
 * One event of a script: what happens, when and to whom. Times in ns from the start.
 *
 * @param endpoints names of the endpoints that it happens to, in the script's order
 * @param until when it ends; the same as {@code at} for what has no end
 * @param line where it stands in the script's file; 0 if it does not come from one
 */
public record Step(long at, long until, List<String> endpoints, What what, int line) {
    /** What can happen. */
    public sealed interface What {}

    /** Everything is refused until the end; then it is open, and cold. */
    public record Shut(boolean tells) implements What {}

    /** Its process is gone: connections refused, what is in hand lost; it comes back cold. */
    public record Down() implements What {}

    /** Its machine is gone: nothing comes back at all; then connections are reset, and it is cold. */
    public record Vanish() implements What {}

    /** Takes calls and answers none. */
    public record Hang() implements What {}

    /** Stands still; {@code forgets}: what was in hand is never answered, else it is answered late. */
    public record Pause(boolean forgets) implements What {}

    /** Takes this many times as long. */
    public record Slow(double factor) implements What {}

    /** Answers are spoilt in these shares. */
    public record Spoil(Endpoint.Spoils shares) implements What {}

    /** The list calls it draining, and it turns new calls away once {@code refuses}. */
    public record Drain(boolean refuses) implements What {}

    /** Off the list, and its process gone. */
    public record Leave() implements What {}

    /** On the list again, as it was; its process is back, and cold. */
    public record Return() implements What {}

    /** Another host takes its place at the same address: a new name, cold; the old one is gone. */
    public record Replace() implements What {}

    /** What the list tells comes so much later; ns. */
    public record ListLate(long by) implements What {}

    /** The agent moves to another address; relays of ours are told, others need a SIGHUP. */
    public record ListMoved() implements What {}

    /** The agent answers nothing. */
    public record ListStalled() implements What {}
}
