package brambletray.tray.view;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Names the bytes of a state transfer, so that another member can go on with them where the first one stopped: what is needed to pack them
 * again, and a digest that tells whether the result is the same.
 *
 * @param digest the first eight bytes of the SHA-256 of the packed bytes; 0 in {@link #NONE} only
 * @param whole  whether a snapshot replaces all that the receiver has
 * @param after  place behind which the entries follow; the snapshot's place when whole
 * @param end    last place
 * @param commit place up to which the member that packed it first knew the log to be kept
 */
public record CutDigest(long digest, boolean whole, long after, long end, long commit) {
    /** Of a transfer of which nothing has come yet, and of an answer that gives nothing. */
    static final CutDigest NONE = new CutDigest(0, false, 0, 0, 0);

    /** Of a patch, packed with this commit. */
    static CutDigest of(Patch patch, long commit, byte[] packed) {
        return new CutDigest(digest(packed), patch.whole(), patch.after(), patch.end(), commit);
    }

    /** Whether these are the bytes that this names. */
    boolean matches(byte[] packed) {
        return digest == digest(packed);
    }

    private static long digest(byte[] packed) {
        try {
            long first = ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(packed))
                    .getLong();
            return first == 0 ? 1 : first;
        } catch (NoSuchAlgorithmException e) {
            throw new ViewFault("view.digest", "the runtime has no SHA-256", e);
        }
    }
}
