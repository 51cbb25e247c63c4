package brambletray.platform.settings;

import java.nio.file.Path;

/** Settings for simulated machines, from text as it would stand in the file. */
public final class SimulatedSettings {
    private SimulatedSettings() {}

    /** Settings from the text of a settings file. */
    public static NodeSettings of(String text) {
        return NodeSettings.from(SettingsFields.parse("node.conf", text), Path.of("node.conf"));
    }
}
