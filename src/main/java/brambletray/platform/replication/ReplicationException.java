package brambletray.platform.replication;

import brambletray.platform.errors.PlatformException;

/**
 * The stored state cannot be read ({@code replication.form}), or an invariant of the log is violated ({@code
 * replication.gap}).
 */
public final class ReplicationException extends PlatformException {
    private static final long serialVersionUID = 1L;

    ReplicationException(String code, String message) {
        super(code, message, null);
    }

    ReplicationException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
