package brambletray.platform.storage;

import brambletray.platform.errors.PlatformException;

/**
 * What a disk did not do: {@code trove.full} (no room: what was there stays there, a later commit may do, and until one
 * has, reads may fail), {@code trove.refused} (the disk refuses to write or read: the same), {@code trove.broken} (what
 * is on the disk is no whole store, not even one commit back: as if the disk were lost), {@code trove.format} (a store
 * of another format), {@code trove.closed}.
 */
public final class StorageException extends PlatformException {
    private static final long serialVersionUID = 1L;

    StorageException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
