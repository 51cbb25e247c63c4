package brambletray.platform.cli;

import brambletray.platform.errors.PlatformException;

/** Invalid input: one line that says what was expected, exit code 2. */
final class UsageException extends PlatformException {
    private static final long serialVersionUID = 1L;

    UsageException(String message, Throwable cause) {
        super("cli.usage", message, cause);
    }
}
