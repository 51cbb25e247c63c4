package brambletray.tray.berth;

import java.nio.file.Path;

/** Settings for simulated machines, from text as it would stand in the file. */
public final class SimBerth {
    private SimBerth() {}

    public static Berth of(String text) {
        return Berth.from(Settings.parse("node.conf", text), Path.of("node.conf"));
    }
}
