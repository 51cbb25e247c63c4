package brambletray.platform.operations;

import brambletray.platform.errors.PlatformException;

/** The bytes cannot be decoded as a batch or snapshot of this package. */
public final class OperationsException extends PlatformException {
    private static final long serialVersionUID = 1L;

    OperationsException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
