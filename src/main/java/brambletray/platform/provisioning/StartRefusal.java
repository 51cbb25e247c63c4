package brambletray.platform.provisioning;

/** No start now; {@code retryAfterMs}: when to ask again. */
public record StartRefusal(String nonce, int retryAfterMs) {}
