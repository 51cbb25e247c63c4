package brambletray.platform.provisioning;

/** The start that a home asked for by {@code nonce} has been made. */
public record InstanceStarted(String nonce, InstanceInfo instance) {}
