package brambletray.platform.distribution;

import brambletray.platform.logging.EventLog;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.settings.SettingsException;
import java.util.function.Consumer;

/** What both programs do at SIGHUP: reread the settings file, and keep the present settings if it is invalid. */
public final class SettingsReload {
    private SettingsReload() {}

    /**
     * Reads the file of {@code current} again and hands the result to {@code apply}; logs {@code settings-reloaded}, or
     * {@code settings-rejected} with code and reason.
     */
    public static void run(NodeSettings current, Consumer<NodeSettings> apply, EventLog log) {
        try {
            apply.accept(current.reread());
            log.info("settings-reloaded").log();
        } catch (SettingsException error) {
            log.warn("settings-rejected")
                    .with("code", error.code())
                    .with("why", error.getMessage())
                    .log();
        }
    }
}
