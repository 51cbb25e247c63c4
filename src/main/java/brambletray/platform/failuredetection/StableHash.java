package brambletray.platform.failuredetection;

/** Hashes that are the same in every process and every version. */
final class StableHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /** Of a name: FNV-1a, then mixed, as names that differ in one digit must lie far apart. */
    static long of(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Of two hashes, in this order. */
    static long of(long one, long other) {
        return mix(one * FNV_PRIME + other);
    }

    /** The finish of SplitMix64. */
    static long mix(long z) {
        long a = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ (a >>> 27)) * 0x94d049bb133111ebL;
        return b ^ (b >>> 31);
    }
}
