package brambletray.relay.serve;

import java.io.IOException;

/** A folder that this process must not serve from; the message is one plain line that says why. */
public final class StoreLockedException extends IOException {
    private static final long serialVersionUID = 1L;

    public StoreLockedException(String cause) {
        super(cause);
    }
}
