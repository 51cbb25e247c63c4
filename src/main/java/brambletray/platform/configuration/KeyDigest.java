package brambletray.platform.configuration;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** The first half of the SHA-256 of a tenant's API key. Keys are compared by it, and only it may be logged. */
public record KeyDigest(long high, long low) {

    /** Computes the digest of a key. */
    public static KeyDigest of(String key) {
        try {
            byte[] bytes = key.getBytes(StandardCharsets.UTF_8);
            ByteBuffer digest =
                    ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(bytes));
            return new KeyDigest(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
