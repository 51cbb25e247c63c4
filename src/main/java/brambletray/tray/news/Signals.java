package brambletray.tray.news;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import sun.misc.Signal;

/**
 * Signals of the system. One that no one handles ends a process; one that is expected but has no handler yet is kept for it.
 */
public final class Signals {
    private static final Map<String, SignalLatch> LATCHES = new ConcurrentHashMap<>();

    private Signals() {}

    /** From now on the signal {@code name} (without SIG) doesn't end the process; the first handler is given one that comes before it. */
    public static void expect(String name) {
        latch(name);
    }

    /** {@code name} without SIG; {@code then} runs on a thread of the system's, or on this one for a signal that has come already. */
    public static void on(String name, Runnable then) {
        latch(name).handler(then);
    }

    /** The signal has come. For the system's thread, and for tests. */
    static void arrived(String name) {
        latch(name).arrived();
    }

    private static SignalLatch latch(String name) {
        return LATCHES.computeIfAbsent(name, Signals::install);
    }

    private static SignalLatch install(String name) {
        SignalLatch latch = new SignalLatch();
        Signal.handle(new Signal(name), signal -> latch.arrived());
        return latch;
    }
}
