package brambletray.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;

/** Tells one run of the machine's kernel from another: proc(5), {@code /proc/sys/kernel/random/boot_id}. */
final class MachineRun {
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");

    private MachineRun() {}

    /** 0 where the system does not tell. */
    static long number() {
        try {
            UUID boot = UUID.fromString(Files.readString(BOOT).strip());
            return boot.getMostSignificantBits() ^ boot.getLeastSignificantBits();
        } catch (IOException | IllegalArgumentException e) {
            return 0;
        }
    }
}
