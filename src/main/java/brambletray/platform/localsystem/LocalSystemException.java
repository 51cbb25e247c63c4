package brambletray.platform.localsystem;

import brambletray.platform.errors.PlatformException;

/** The stand-in, or a call as an operator, can't go on. */
public final class LocalSystemException extends PlatformException {
    private static final long serialVersionUID = 1L;

    /** {@code code} without the plane. */
    public LocalSystemException(String code, String message, Throwable cause) {
        super("localsystem." + code, message, cause);
    }
}
