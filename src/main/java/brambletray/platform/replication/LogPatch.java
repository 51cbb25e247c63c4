package brambletray.platform.replication;

import java.util.List;

/**
 * What turns one log into another: all behind a place is dropped and these entries are put there; or, whole, all is
 * replaced.
 *
 * @param whole     whether the snapshot replaces everything
 * @param after     place that stays as the last one (the snapshot's when whole)
 * @param afterView view of the entry at that place
 * @param snapshot  state after that place when whole, else empty
 * @param entries   those that follow
 */
public record LogPatch(boolean whole, long after, Ballot afterView, byte[] snapshot, List<LogEntry> entries) {
    /**
     * Bytes of a patch that may go in one frame with a new view, 0.26 s of a link of 2 Mbit/s:
     * {@link ReplicationSettings#installMs} has to bear it. What is longer is fetched in pieces.
     */
    static final int SHORT = 64 << 10;
    /** Bytes that an entry takes besides its own. */
    private static final int EACH = 64;

    long end() {
        return after + entries.size();
    }

    /** Bytes, nearly. */
    long bytes() {
        long bytes = snapshot.length;
        for (LogEntry entry : entries) {
            bytes += EACH + entry.bytes().length;
        }
        return bytes;
    }

    boolean isShort() {
        return bytes() <= SHORT;
    }
}
