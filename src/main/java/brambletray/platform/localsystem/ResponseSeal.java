package brambletray.platform.localsystem;

import java.nio.charset.StandardCharsets;

/**
 * The stand-in's {@code Brambletray-Response-Seal}: the host's id, a dot, and a hash of the request as the host
 * received it and of the response. A client can check that its request arrived unchanged and that the response is its
 * own and complete.
 */
final class ResponseSeal {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private ResponseSeal() {}

    static String of(String host, String attempt, String method, String path, byte[] asked, byte[] answered) {
        long hash = OFFSET;
        for (String text : new String[] {host, attempt, method, path}) {
            hash = add(hash, text.getBytes(StandardCharsets.UTF_8));
        }
        return host + '.' + Long.toHexString(add(add(hash, asked), answered));
    }

    /** Whether this stamp belongs to that request and that answer. */
    static boolean holds(String seal, String attempt, String method, String path, byte[] asked, byte[] answered) {
        int dot = seal == null ? -1 : seal.lastIndexOf('.');
        return dot > 0 && seal.equals(of(seal.substring(0, dot), attempt, method, path, asked, answered));
    }

    private static long add(long hash, byte[] bytes) {
        long sum = (hash ^ bytes.length) * PRIME;
        for (byte one : bytes) {
            sum = (sum ^ one & 0xff) * PRIME;
        }
        return sum;
    }
}
