package brambletray.platform.settings;

/**
 * What a process may use, {@code limits.*} in the settings.
 *
 * @param cpuShare share of a core
 * @param cpuCores how many times as fast that core is
 * @param memoryMb the process is killed beyond it
 * @param maxFds descriptors, sockets and files together
 * @param linkMbps Mbit/s of the machine's own link
 * @param diskMb 0: no disk
 */
public record ResourceLimits(double cpuShare, double cpuCores, int memoryMb, int maxFds, double linkMbps, int diskMb) {
    static ResourceLimits from(SettingsFields in) {
        return new ResourceLimits(
                in.nonNegativeDouble("limits.cpu-share", 1),
                in.nonNegativeDouble("limits.cpu-cores", 1),
                in.nonNegativeInt("limits.memory-mb", 256),
                in.nonNegativeInt("limits.max-fds", 1_024),
                in.nonNegativeDouble("limits.link-mbps", 1_000),
                in.nonNegativeInt("limits.disk-mb", 0));
    }
}
