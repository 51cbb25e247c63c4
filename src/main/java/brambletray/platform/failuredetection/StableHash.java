package brambletray.platform.failuredetection;

/** Hash functions whose results are the same in all processes and all versions. */
final class StableHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /**
     * Hash of a name: FNV-1a followed by {@link #mix}, so that names differing in one digit get very different hashes.
     */
    static long of(String name) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Combines two hashes; the order matters. */
    static long of(long first, long second) {
        return mix(first * FNV_PRIME + second);
    }

    /** The finalizer of SplitMix64. */
    static long mix(long z) {
        long a = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        long b = (a ^ (a >>> 27)) * 0x94d049bb133111ebL;
        return b ^ (b >>> 31);
    }
}
