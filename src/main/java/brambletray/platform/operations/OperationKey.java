package brambletray.platform.operations;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Identifies an operation in the whole system: the first half of the SHA-256 of its tenant and operation key. */
public record OperationKey(long high, long low) {
    private static final int HEX_DIGITS = 32;

    /** Hashes a tenant and an operation key; {@code tenant} is empty if the request has none. */
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
