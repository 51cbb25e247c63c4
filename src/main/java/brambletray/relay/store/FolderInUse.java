package brambletray.relay.store;

import java.io.IOException;

/** Another process holds the lock of a folder. */
public final class FolderInUse extends IOException {
    private static final long serialVersionUID = 1L;

    FolderInUse(String folder) {
        super("another process uses the folder " + folder);
    }
}
