package brambletray.relay.store;

import java.io.IOException;

/**
 * A batch that failed and may be found all the same after a restart: whoever it was for must not be told that
 * it never was.
 */
public final class UncertainWrite extends IOException {
    private static final long serialVersionUID = 1L;

    UncertainWrite(IOException cause) {
        super(cause.getMessage(), cause);
    }
}
