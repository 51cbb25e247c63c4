package brambletray.platform.provisioning;

/** A host has ended. */
public record InstanceGone(String id, String service) {}
