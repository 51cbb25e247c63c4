package brambletray.relay.cli;

import java.io.IOException;

/** Bad input: its message is the one line that is told, and the exit code is 2. */
final class UsageException extends IOException {
    private static final long serialVersionUID = 1L;

    UsageException(String line) {
        super(line);
    }
}
