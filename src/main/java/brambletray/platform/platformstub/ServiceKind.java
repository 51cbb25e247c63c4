package brambletray.platform.platformstub;

/**
 * A service as the platform knows it: MB of a host, mean ms of its start, and how far starts spread (sigma of a
 * log-normal; 0: all alike).
 */
public record ServiceKind(int memoryMb, int bootMs, double spread) {}
