package brambletray.tray.news;

import sun.misc.Signal;

/** Signals of the system: one that no one handles ends a process. */
public final class Signals {
    private Signals() {}

    /** {@code name} without SIG; {@code then} runs on a thread of the system's. */
    public static void on(String name, Runnable then) {
        Signal.handle(new Signal(name), signal -> then.run());
    }
}
