package brambletray.platform.transport;

import brambletray.platform.errors.PlatformException;

/**
 * A frame that cannot be written or read: {@code speech.frame-too-long}, {@code speech.unreadable},
 * {@code speech.unwritable}.
 */
public final class TransportException extends PlatformException {
    private static final long serialVersionUID = 1L;

    TransportException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
