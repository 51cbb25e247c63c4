package brambletray.platform.provisioning;

/** What a host of a service takes: MB on its worker, and the mean ms of a start, both from the configuration. */
public record InstanceSize(int memoryMb, int bootMs) {}
