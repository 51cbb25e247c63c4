package brambletray.tray.news;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import sun.misc.Signal;

/** Signals of the system: one that no one handles ends a process. */
public final class Signals {
    private static final Map<String, Runnable> HANDLERS = new HashMap<>();
    /** Signals that came before their handler. */
    private static final Set<String> HELD = new HashSet<>();

    private Signals() {}

    /** From now on this signal is kept for the handler that {@link #on} sets later. {@code name}: without SIG. */
    public static void hold(String name) {
        Signal.handle(new Signal(name), signal -> came(name));
    }

    /** {@code name} without SIG; {@code then} runs on a thread of the system's, or here and now for a signal that was held. */
    public static void on(String name, Runnable then) {
        hold(name);
        synchronized (Signals.class) {
            HANDLERS.put(name, then);
            if (HELD.remove(name)) {
                then.run();
            }
        }
    }

    static synchronized void came(String name) {
        Runnable handler = HANDLERS.get(name);
        if (handler == null) {
            HELD.add(name);
        } else {
            handler.run();
        }
    }
}
