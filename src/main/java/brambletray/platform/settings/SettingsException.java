package brambletray.platform.settings;

import brambletray.platform.errors.PlatformException;

/**
 * The settings file cannot be used: one line with file, line, field and what was expected. Programs print it and exit
 * with {@link #EXIT_CODE}.
 */
public final class SettingsException extends PlatformException {
    private static final long serialVersionUID = 1L;

    /** Exit code of a program whose settings can't be used. */
    public static final int EXIT_CODE = 2;

    SettingsException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
