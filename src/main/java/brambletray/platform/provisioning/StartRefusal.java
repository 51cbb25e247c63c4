package brambletray.platform.provisioning;

/** No start now; {@code comeBackMs}: ms until it is worth asking again. */
public record StartRefusal(String nonce, int retryAfterMs) {}
