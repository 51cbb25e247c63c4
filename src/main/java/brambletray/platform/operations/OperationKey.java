package brambletray.platform.operations;

import brambletray.platform.configuration.KeyDigest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names an operation in the system: the first half of the SHA-256 of its operation key and of the tenant or the
 * credential that the operation key belongs to.
 */
public record OperationKey(long high, long low) {
    private static final int HEX_DIGITS = 32;
    /** Occurs nowhere in UTF-8, so no tenant's name begins with it. */
    private static final byte CREDENTIAL_PREFIX = (byte) 0xff;

    /** Hashes a tenant and an operation key; {@code tenant} is empty if the request has none. */
    public static OperationKey of(String tenant, String key) {
        byte[] name = tenant.getBytes(StandardCharsets.UTF_8);
        return hash(ByteBuffer.allocate(name.length + 1).put(name).put((byte) 0), key);
    }

    /** Hashes a credential and an operation key; the result differs from that of every tenant. */
    static OperationKey of(KeyDigest credential, String key) {
        return hash(
                ByteBuffer.allocate(1 + 2 * Long.BYTES)
                        .put(CREDENTIAL_PREFIX)
                        .putLong(credential.high())
                        .putLong(credential.low()),
                key);
    }

    private static OperationKey hash(ByteBuffer scope, String key) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            sha.update(scope.flip());
            ByteBuffer digest = ByteBuffer.wrap(sha.digest(key.getBytes(StandardCharsets.UTF_8)));
            return new OperationKey(digest.getLong(), digest.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The key as 32 hexadecimal digits. */
    public String hex() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }

    /** Parses the form written by {@link #hex}; null if the text is not a key. */
    public static OperationKey parse(String hex) {
        if (hex.length() != HEX_DIGITS || !hex.chars().allMatch(HexFormat::isHexDigit)) {
            return null;
        }
        int half = HEX_DIGITS / 2;
        return new OperationKey(
                HexFormat.fromHexDigitsToLong(hex.substring(0, half)),
                HexFormat.fromHexDigitsToLong(hex.substring(half)));
    }
}
