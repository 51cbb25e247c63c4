package brambletray.platform.distribution;

import brambletray.platform.logging.EventLog;
import brambletray.platform.settings.NodeSettings;
import brambletray.platform.settings.SettingsException;
import java.util.function.Consumer;

/** Reloads the settings file on SIGHUP, in both programs; an invalid file leaves the current settings in place. */
public final class SettingsReload {
    private SettingsReload() {}

    /**
     * Rereads the file of {@code current} and passes the result to {@code apply}. Logs {@code settings-reloaded}, or
     * {@code settings-rejected} with the error code and reason.
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
