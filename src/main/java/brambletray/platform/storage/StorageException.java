package brambletray.platform.storage;

import brambletray.platform.errors.PlatformException;

/**
 * A failure of the disk: {@code storage.full} (no room: what is stored stays, a later commit may succeed, and until
 * one has, reads may fail), {@code storage.refused} (the disk refuses to write or read: the same), {@code
 * storage.broken} (there is no complete store, not even one commit back: as if the disk were lost), {@code
 * storage.format} (a store of another format), {@code storage.closed}, {@code storage.too-long}.
 */
public final class StorageException extends PlatformException {
    private static final long serialVersionUID = 1L;

    StorageException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
