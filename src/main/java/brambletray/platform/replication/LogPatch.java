package brambletray.platform.replication;

import java.util.List;

/**
 * The difference between two logs: either all entries after an index are replaced, or the complete log is replaced by a
 * snapshot and the entries after it.
 *
 * @param replacesAll whether the snapshot replaces the complete log
 * @param previousIndex last index that is kept, or the index of the snapshot if it replaces the log
 * @param previousView ballot of the view of the entry at that index
 * @param snapshot state at that index if it replaces the log, otherwise empty
 * @param entries the entries after that index
 */
public record LogPatch(
        boolean replacesAll, long previousIndex, Ballot previousView, byte[] snapshot, List<LogEntry> entries) {
    /**
     * Largest patch that is sent in one message with a new view. At 2 Mbit/s it takes 0.26 s, which {@link
     * ReplicationSettings#installTimeoutMs} has to allow for. Larger patches are fetched in chunks.
     */
    static final int MAX_INLINE_BYTES = 64 << 10;
    /** Bytes of an entry in addition to its payload. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    long lastIndex() {
        return previousIndex + entries.size();
    }

    /** Approximate size in bytes. */
    long sizeBytes() {
        long bytes = snapshot.length;
        for (LogEntry entry : entries) {
            bytes += ENTRY_OVERHEAD_BYTES + entry.bytes().length;
        }
        return bytes;
    }

    boolean fitsInline() {
        return sizeBytes() <= MAX_INLINE_BYTES;
    }
}
