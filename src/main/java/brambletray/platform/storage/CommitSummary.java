package brambletray.platform.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Written with each commit: the format version, the commit number, and the count and checksum of all entries of the
 * store. A store whose entries do not match its summary is torn.
 */
record CommitSummary(long commitNumber, int entryCount, long entrySum) {
    static final int FORMAT_VERSION = 1;
    static final int BYTES = Integer.BYTES + Long.BYTES + Integer.BYTES + Long.BYTES;
    static final CommitSummary EMPTY = new CommitSummary(0, 0, 0);

    byte[] toBytes() {
        return ByteBuffer.allocate(BYTES)
                .putInt(FORMAT_VERSION)
                .putLong(commitNumber)
                .putInt(entryCount)
                .putLong(entrySum)
                .array();
    }

    /** @throws StorageException {@code storage.format} */
    static CommitSummary fromBytes(byte[] bytes) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (bytes.length < Integer.BYTES) {
            return null;
        }
        int format = in.getInt();
        if (format != FORMAT_VERSION && format > 0 && format < 1 << 16) {
            throw new StorageException(
                    "storage.format", "the store has format version " + format + ", expected " + FORMAT_VERSION, null);
        }
        return format == FORMAT_VERSION && bytes.length == BYTES
                ? new CommitSummary(in.getLong(), in.getInt(), in.getLong())
                : null;
    }

    /** The checksum of one entry. Sums of these distinguish any two states that a torn write can leave of a store. */
    static long entryChecksum(byte[] key, byte[] value) {
        CRC32C crc = new CRC32C();
        crc.update(key);
        long keyChecksum = crc.getValue();
        crc.update(value);
        long z = (keyChecksum << 32 | crc.getValue()) + 0x9e3779b97f4a7c15L * (value.length + 1);
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** The summary after an entry was added (old checksum 0), removed (new checksum 0) or changed. */
    CommitSummary withEntry(long oldChecksum, long newChecksum) {
        return new CommitSummary(
                commitNumber,
                entryCount + (newChecksum != 0 ? 1 : 0) - (oldChecksum != 0 ? 1 : 0),
                entrySum - oldChecksum + newChecksum);
    }

    CommitSummary nextCommit() {
        return new CommitSummary(commitNumber + 1, entryCount, entrySum);
    }
}
