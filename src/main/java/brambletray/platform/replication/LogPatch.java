package brambletray.platform.replication;

import java.util.List;

/**
 * What turns one log into another: all behind a place is dropped and these entries are put there; or, whole, all is
 * replaced.
 *
 * @param replacesAll     whether the snapshot replaces everything
 * @param previousIndex     place that stays as the last one (the snapshot's when whole)
 * @param previousView view of the entry at that place
 * @param snapshot  state after that place when whole, else empty
 * @param entries   those that follow
 */
public record LogPatch(
        boolean replacesAll, long previousIndex, Ballot previousView, byte[] snapshot, List<LogEntry> entries) {
    /**
     * Bytes of a patch that may go in one frame with a new view, 0.26 s of a link of 2 Mbit/s:
     * {@link ReplicationSettings#installTimeoutMs} has to bear it. What is longer is fetched in pieces.
     */
    static final int MAX_INLINE_BYTES = 64 << 10;
    /** Bytes that an entry takes besides its own. */
    private static final int ENTRY_OVERHEAD_BYTES = 64;

    long lastIndex() {
        return previousIndex + entries.size();
    }

    /** Bytes, nearly. */
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
