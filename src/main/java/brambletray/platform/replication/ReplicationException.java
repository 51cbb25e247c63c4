package brambletray.platform.replication;

import brambletray.platform.errors.PlatformException;

/** The kept state can't be read, or a rule of this plane has been broken. */
public final class ReplicationException extends PlatformException {
    private static final long serialVersionUID = 1L;

    ReplicationException(String code, String message) {
        super(code, message, null);
    }

    ReplicationException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
