package brambletray.relay.mqtt.clients;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import javax.crypto.SecretKeyFactory;
import javax.crypto.spec.PBEKeySpec;

/**
 * Who may connect: a file with a line a user, {@code name:iterations:salt:hash:filter}, salt and hash in
 * hexadecimal (PBKDF2 with HMAC-SHA-256, 32 bytes), and the filter of the topics that the user may publish
 * to. Empty lines and lines that begin with # are passed over.
 */
public final class Users {
    private static final int HASH_BITS = 256;
    private static final int ITERATIONS_MOST = 1_000_000;

    private record User(int iterations, byte[] salt, byte[] hash, String filter) {}

    private final Map<String, User> users = new HashMap<>();

    private Users() {}

    static Users read(Path file) throws IOException {
        Users all = new Users();
        List<String> lines = Files.readAllLines(file);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String[] parts = line.split(":", 5);
            try {
                if (parts.length < 5 || !TopicScheme.isFilter(parts[4])) {
                    throw new IllegalArgumentException();
                }
                int iterations = Integer.parseInt(parts[1]);
                byte[] hash = HexFormat.of().parseHex(parts[3]);
                if (iterations < 1 || iterations > ITERATIONS_MOST || hash.length != HASH_BITS / 8) {
                    throw new IllegalArgumentException();
                }
                all.users.put(parts[0], new User(iterations, HexFormat.of().parseHex(parts[2]), hash, parts[4]));
            } catch (IllegalArgumentException e) {
                throw new IOException(file + ":" + (i + 1) + ": expected name:iterations:salt:hash:filter");
            }
        }
        return all;
    }

    /** The line of a user. */
    public static String line(String name, String password, byte[] salt, int iterations, String filter) {
        return name + ":" + iterations + ":" + HexFormat.of().formatHex(salt) + ":"
                + HexFormat.of().formatHex(hash(password.getBytes(StandardCharsets.UTF_8), salt, iterations))
                + ":"
                + filter;
    }

    /** The filter of what the user may publish to; null if name and password do not fit. */
    String filter(String name, byte[] password) {
        User user = name == null ? null : users.get(name);
        if (user == null
                || password == null
                || !MessageDigest.isEqual(user.hash(), hash(password, user.salt(), user.iterations()))) {
            return null;
        }
        return user.filter();
    }

    private static byte[] hash(byte[] password, byte[] salt, int iterations) {
        char[] chars = new String(password, StandardCharsets.UTF_8).toCharArray();
        try {
            return SecretKeyFactory.getInstance("PBKDF2WithHmacSHA256")
                    .generateSecret(new PBEKeySpec(chars, salt, iterations, HASH_BITS))
                    .getEncoded();
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has PBKDF2 with HMAC-SHA-256", e);
        }
    }
}
