package brambletray.platform.replication;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * Names the bytes of a state transfer, so that another member can go on with them where the first one stopped: what is
 * needed to pack them
 * again, and a digest that tells whether the result is the same.
 *
 * @param digest CRC-32 and CRC-32C of the packed bytes, 64 bits together; 0 in {@link #NONE} only
 * @param whole  whether a snapshot replaces all that the receiver has
 * @param after  place behind which the entries follow; the snapshot's place when whole
 * @param end    last place
 * @param commit place up to which the member that packed it first knew the log to be kept
 */
public record CutDigest(long digest, boolean whole, long after, long end, long commit) {
    /** Of a transfer of which nothing has come yet, and of an answer that gives nothing. */
    static final CutDigest NONE = new CutDigest(0, false, 0, 0, 0);

    /** Of a patch, packed with this commit. */
    static CutDigest of(LogPatch patch, long commit, byte[] packed) {
        return new CutDigest(digest(packed), patch.whole(), patch.after(), patch.end(), commit);
    }

    /** Whether these are the bytes that this names. */
    boolean matches(byte[] packed) {
        return digest == digest(packed);
    }

    private static long digest(byte[] packed) {
        long digest = sum(new CRC32(), packed) << Integer.SIZE | sum(new CRC32C(), packed);
        return digest == 0 ? 1 : digest;
    }

    private static long sum(Checksum checksum, byte[] packed) {
        checksum.update(packed, 0, packed.length);
        return checksum.getValue();
    }
}
