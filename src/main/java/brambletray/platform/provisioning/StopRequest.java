package brambletray.platform.provisioning;

/** A home has emptied a host and wants it stopped. */
public record StopRequest(String id, String service) {}
