package brambletray.platform.storage;

import brambletray.platform.errors.PlatformException;

/**
 * A storage failure: {@code storage.full} (no space left: stored data is kept, a later commit may succeed, and reads
 * may fail until one has), {@code storage.refused} (another disk error, with the same consequences), {@code
 * storage.broken} (neither the last commit nor the one before it is complete, as if the disk were lost), {@code
 * storage.format} (unsupported format version), {@code storage.closed}, {@code storage.too-long}.
 */
public final class StorageException extends PlatformException {
    private static final long serialVersionUID = 1L;

    StorageException(String code, String message, Throwable cause) {
        super(code, message, cause);
    }
}
