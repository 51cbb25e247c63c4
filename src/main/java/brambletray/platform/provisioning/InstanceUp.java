package brambletray.platform.provisioning;

/** A host has been seen to be up. */
public record InstanceUp(String id, String service) {}
