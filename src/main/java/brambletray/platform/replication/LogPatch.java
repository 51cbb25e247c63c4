package brambletray.platform.replication;

import java.util.List;

/**
 * What turns one log into another: everything after an index is replaced by these entries, or the log is replaced
 * altogether.
 *
 * @param replacesAll whether the snapshot replaces the log
 * @param previousIndex last index that stays; that of the snapshot if it replaces the log
 * @param previousView ballot of the view of the entry at that index
 * @param snapshot state at that index if it replaces the log, else empty
 * @param entries those that follow
 */
public record LogPatch(
        boolean replacesAll, long previousIndex, Ballot previousView, byte[] snapshot, List<LogEntry> entries) {
    /**
     * Bytes of a patch that may be sent in one message with a new view: 0.26 s of a link of 2 Mbit/s, which {@link
     * ReplicationSettings#installTimeoutMs} has to allow for. Longer patches are fetched in chunks.
     */
    static final int MAX_INLINE_BYTES = 64 << 10;
    /** Bytes of an entry besides those of its change. */
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
