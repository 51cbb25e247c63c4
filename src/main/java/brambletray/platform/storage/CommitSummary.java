package brambletray.platform.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Written with each commit: the format, the number of the commit, and count and checksum of all entries of the store.
 * A store whose entries do not add up to its summary is torn.
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
                    "storage.format", "the store is of format " + format + ", expected " + FORMAT_VERSION, null);
        }
        return format == FORMAT_VERSION && bytes.length == BYTES
                ? new CommitSummary(in.getLong(), in.getInt(), in.getLong())
                : null;
    }

    /** The checksum of one entry; sums of these distinguish any two stores that a torn disk could make of one. */
    static long entryChecksum(byte[] key, byte[] value) {
        CRC32C sum = new CRC32C();
        sum.update(key);
        long keys = sum.getValue();
        sum.update(value);
        long z = (keys << 32 | sum.getValue()) + 0x9e3779b97f4a7c15L * (value.length + 1);
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** With an entry more (old 0), less (new 0) or changed; 0 stands for no entry. */
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
