package brambletray.platform.provisioning;

/**
 * One worker as the platform shows it ({@code GET /brambletray/workers}); one that is down is not shown. Memory in MB.
 */
public record WorkerInfo(String name, String zone, int memoryMb, int freeMb, boolean draining) {}
