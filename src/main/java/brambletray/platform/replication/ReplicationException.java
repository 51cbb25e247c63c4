package brambletray.platform.replication;

import brambletray.platform.errors.PlatformException;

/**
 * A value could not be encoded or decoded ({@code replication.form}), or an entry does not follow the end of the log
 * ({@code replication.gap}).
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
