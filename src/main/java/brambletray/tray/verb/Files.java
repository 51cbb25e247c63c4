package brambletray.tray.verb;

import java.io.IOException;
import java.nio.file.Path;

/** Files that verbs are given. */
final class Files {
    /** Bytes; a larger file is no configuration. */
    private static final long MOST = 4 << 20;

    private Files() {}

    /** {@link UsageFault} with file and reason. */
    static byte[] read(Path file) {
        try {
            if (java.nio.file.Files.size(file) > MOST) {
                throw new UsageFault(file + ": expected at most " + MOST + " bytes", null);
            }
            return java.nio.file.Files.readAllBytes(file);
        } catch (IOException e) {
            throw new UsageFault(
                    file + ": expected a file that can be read, found "
                            + e.getClass().getSimpleName(),
                    e);
        }
    }
}
