package brambletray.platform.drill;

import brambletray.platform.errors.PlatformException;

/** A plan or a script of a drill that cannot be played; the message says which field, and what was expected. */
public final class InvalidDrillException extends PlatformException {
    private static final long serialVersionUID = 1L;

    InvalidDrillException(String message) {
        super("drill.bad-input", message, null);
    }
}
