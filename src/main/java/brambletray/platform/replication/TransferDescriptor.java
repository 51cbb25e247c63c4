package brambletray.platform.replication;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * Identifies the bytes of a state transfer, so that another member can go on with them where the first one stopped:
 * what is needed to pack them again, and a digest that tells whether the result is the same.
 *
 * @param digest CRC-32 and CRC-32C of the packed bytes, 64 bits together; 0 in {@link #NONE} only
 * @param isSnapshot whether a snapshot replaces the receiver's log
 * @param previousIndex index after which the entries follow; that of the snapshot if there is one
 * @param lastIndex index of the last entry
 * @param commitIndex commit index of the member that packed the bytes first
 */
public record TransferDescriptor(
        long digest, boolean isSnapshot, long previousIndex, long lastIndex, long commitIndex) {
    /** Of a transfer of which nothing has come yet, and of a response that offers nothing. */
    static final TransferDescriptor NONE = new TransferDescriptor(0, false, 0, 0, 0);

    /** Of a patch, packed with this commit. */
    static TransferDescriptor of(LogPatch patch, long commit, byte[] packed) {
        return new TransferDescriptor(
                digest(packed), patch.replacesAll(), patch.previousIndex(), patch.lastIndex(), commit);
    }

    /** Whether these are the identified bytes. */
    boolean matches(byte[] packed) {
        return digest == digest(packed);
    }

    private static long digest(byte[] packed) {
        long digest = checksum(new CRC32(), packed) << Integer.SIZE | checksum(new CRC32C(), packed);
        return digest == 0 ? 1 : digest;
    }

    private static long checksum(Checksum checksum, byte[] packed) {
        checksum.update(packed, 0, packed.length);
        return checksum.getValue();
    }
}
