package brambletray.common.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/** Tells one run of the machine's kernel from another: proc(5), {@code /proc/sys/kernel/random/boot_id}. */
final class BootId {
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");

    private BootId() {}

    /** 0 where the system does not tell. */
    static long read() {
        try {
            UUID boot = UUID.fromString(Files.readString(BOOT_ID_FILE).strip());
            return boot.getMostSignificantBits() ^ boot.getLeastSignificantBits();
        } catch (IOException | IllegalArgumentException e) {
            return 0;
        }
    }
}
