package brambletray.relay.console;

import java.util.function.Consumer;

/** What operators may ask of a relay. Each method tells its answer exactly once, at once or within 1 s. */
public interface Operations {
    /** Whether this process is ready to serve. */
    void ready(Consumer<CommandResponse> then);

    /** The figures, in the form of StatsD: a line each. */
    void figures(Consumer<CommandResponse> then);

    /** Takes a host out by its name, or puts it back. */
    void exclude(String host, boolean out, Consumer<CommandResponse> then);

    /** Sends clients away ({@code true}), or ends that. */
    void drain(boolean away, Consumer<CommandResponse> then);
}
