package brambletray.platform.admission;

/**
 * From a home to an edge: a slot of an instance for one request, until it is released. {@code booting}: the instance
 * may still refuse connections.
 */
public record SlotGrant(long requestId, String instanceId, String address, boolean booting) {}
