package brambletray.platform.admission;

/** A place at a host: for one request, until it is given back. {@code booting}: it may still refuse connections. */
public record SlotGrant(long requestId, String instanceId, String address, boolean booting) {}
