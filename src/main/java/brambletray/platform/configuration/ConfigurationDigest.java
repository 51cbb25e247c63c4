package brambletray.platform.configuration;

import java.nio.charset.StandardCharsets;

/**
 * Incremental digests of configurations: each entry has a 64-bit digest (FNV-1a over table, name and bytes, followed by
 * a final mix), and the digests are summed, so that the cost of an update depends only on the changed entries. They
 * detect a wrong base, a missing or surplus entry and bugs in this program. They do not protect against deliberate
 * collisions, which is acceptable because only core members write entries.
 */
final class ConfigurationDigest {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private ConfigurationDigest() {}

    static long of(ConfigurationDelta.Entry entry) {
        return of(entry.table(), entry.name(), entry.body());
    }

    /** The digest of one entry; 0 for an entry that does not exist. */
    static long of(String table, String name, byte[] body) {
        if (body == null) {
            return 0;
        }
        long hash = fnv1a(FNV_OFFSET_BASIS, table.getBytes(StandardCharsets.UTF_8));
        hash = fnv1a((hash ^ 0xff) * FNV_PRIME, name.getBytes(StandardCharsets.UTF_8));
        return finalMix(fnv1a((hash ^ 0xff) * FNV_PRIME, body));
    }

    /** The digest of a configuration with this revision and this sum of entry digests. */
    static long of(long revision, long sum) {
        return finalMix(sum ^ finalMix(revision));
    }

    /** The digest of a byte array. */
    static long of(byte[] bytes) {
        return finalMix(fnv1a(FNV_OFFSET_BASIS, bytes));
    }

    private static long fnv1a(long from, byte[] bytes) {
        long hash = from;
        for (byte b : bytes) {
            hash = (hash ^ b & 0xff) * FNV_PRIME;
        }
        return hash;
    }

    private static long finalMix(long value) {
        long z = (value ^ value >>> 33) * 0xff51afd7ed558ccdL;
        z = (z ^ z >>> 33) * 0xc4ceb9fe1a85ec53L;
        return z ^ z >>> 33;
    }
}
