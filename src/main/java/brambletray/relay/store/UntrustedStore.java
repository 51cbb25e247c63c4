package brambletray.relay.store;

import java.io.IOException;

/** A store that cannot be trusted at all; the message is one plain line that says why. */
public final class UntrustedStore extends IOException {
    private static final long serialVersionUID = 1L;

    UntrustedStore(String cause) {
        super(cause);
    }
}
