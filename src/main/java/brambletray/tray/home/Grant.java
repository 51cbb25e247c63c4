package brambletray.tray.home;

/** A place at a host: for one request, until it is given back. {@code booting}: it may still refuse connections. */
public record Grant(long askId, String host, String address, boolean booting) {}
