package brambletray.platform.provisioning;

/**
 * A home asks for one more host. The nonce (at most 64 bytes) stays the same until it is answered, so that a start is
 * never made twice. {@code urgency}: the greater goes first. */
public record StartRequest(String service, String homeZone, String nonce, int urgency) {}
