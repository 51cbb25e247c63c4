package brambletray.platform.cli;

import java.io.IOException;
import java.nio.file.Path;

/** Files that verbs are given. */
final class InputFiles {
    /** Bytes; a larger file is no configuration. */
    private static final long MAX_BYTES = 4 << 20;

    private InputFiles() {}

    /** {@link UsageException} with file and reason. */
    static byte[] read(Path file) {
        try {
            if (java.nio.file.Files.size(file) > MAX_BYTES) {
                throw new UsageException(file + ": expected at most " + MAX_BYTES + " bytes", null);
            }
            return java.nio.file.Files.readAllBytes(file);
        } catch (IOException e) {
            throw new UsageException(
                    file + ": expected a file that can be read, found "
                            + e.getClass().getSimpleName(),
                    e);
        }
    }
}
