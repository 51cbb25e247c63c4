package brambletray.platform.operations;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** Names an operation over the whole system: the first half of the SHA-256 of its tenant and its operation key. */
public record OperationKey(long high, long low) {

    /** {@code tenant}: empty for nobody's. */
    public static OperationKey of(String tenant, String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(tenant.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
            ByteBuffer digest = ByteBuffer.wrap(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
            return new OperationKey(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
