package brambletray.platform.provisioning;

/** A host is listed as draining, or its worker is: nothing new goes there. */
public record InstanceDraining(String id, String service) {}
