package brambletray.platform.replication;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/**
 * Identifies the bytes of a state transfer, so that another member can continue it: the parameters for reproducing the
 * bytes, and a digest to verify that they are identical.
 *
 * @param digest CRC-32 and CRC-32C of the packed bytes, combined into 64 bits; 0 only in {@link #NONE}
 * @param isSnapshot whether a snapshot replaces the receiver's log
 * @param previousIndex index before the first entry; the index of the snapshot if there is one
 * @param lastIndex index of the last entry
 * @param commitIndex commit index of the member that first packed the bytes
 */
public record TransferDescriptor(
        long digest, boolean isSnapshot, long previousIndex, long lastIndex, long commitIndex) {
    /** Used in requests before any chunk has been received, and in responses without data. */
    static final TransferDescriptor NONE = new TransferDescriptor(0, false, 0, 0, 0);

    /** Describes a patch that was packed with this commit index. */
    static TransferDescriptor of(LogPatch patch, long commitIndex, byte[] packed) {
        return new TransferDescriptor(
                digest(packed), patch.replacesAll(), patch.previousIndex(), patch.lastIndex(), commitIndex);
    }

    /** Whether the bytes have this descriptor's digest. */
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
