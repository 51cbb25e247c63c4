package brambletray.tray.yard;

/** What a host of a service takes: MB on its worker, and the mean ms of a start, both from the configuration. */
public record Size(int memoryMb, int bootMs) {}
