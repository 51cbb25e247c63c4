package brambletray.platform.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What a log gives to one that lacks some of it, before and after it was compacted. */
class ReplicatedLogTest {
    private static final Ballot FIRST = new Ballot(1, 1);
    private static final Ballot SECOND = new Ballot(2, 2);
    private static final int SNAPSHOT_BYTES = 10_000;

    private static ReplicatedLog log(int entries, Ballot view) {
        ReplicatedLog log = ReplicatedLog.empty();
        for (int i = 1; i <= entries; i++) {
            log.append(entry(i, view));
        }
        return log;
    }

    private static LogEntry entry(long index, Ballot view) {
        return new LogEntry(index, view, 7, index, new byte[100]);
    }

    @Test
    void patchesAShortLagFromEntriesRetainedAfterCompaction() {
        ReplicatedLog log = log(300, FIRST);
        log.compact(300, new byte[SNAPSHOT_BYTES]);
        log.append(entry(301, FIRST));
        LogPatch patch = log.patchFor(290, FIRST, 0);
        assertFalse(patch.replacesAll());
        assertEquals(11, patch.entries().size());
        ReplicatedLog other = log(290, FIRST).patched(patch);
        assertEquals(301, other.lastIndex());
        assertEquals(FIRST, other.lastView());
    }

    @Test
    void sendsTheSnapshotForALongLagOrOneBeyondTheRetainedEntries() {
        ReplicatedLog log = log(300, FIRST);
        log.compact(300, new byte[SNAPSHOT_BYTES]);
        assertTrue(log.patchFor(100, FIRST, 0).replacesAll());
        for (int i = 301; i <= 1000; i++) {
            log.append(entry(i, FIRST));
        }
        log.compact(1000, new byte[1 << 20]);
        assertTrue(log.patchFor(400, FIRST, 0).replacesAll(), "not remembered any more");
        assertFalse(log.patchFor(600, FIRST, 0).replacesAll());
        // 512 are remembered, and the view of the one before them
        assertFalse(log.patchFor(488, FIRST, 0).replacesAll());
        assertTrue(log.patchFor(487, FIRST, 0).replacesAll());
    }

    /**
     * A member that ends with entries that nobody kept: they are not taken for ours, though their places are
     * remembered.
     */
    @Test
    void replacesTheWholeLogIfTheLastEntryDiffersFromTheRetainedOne() {
        ReplicatedLog log = log(300, FIRST);
        log.compact(300, new byte[SNAPSHOT_BYTES]);
        for (long end : new long[] {250, 290, 300}) {
            assertTrue(log.patchFor(end, SECOND, 0).replacesAll(), "end " + end);
        }
        ReplicatedLog later = log(250, FIRST);
        for (int i = 251; i <= 300; i++) {
            later.append(entry(i, SECOND));
        }
        later.compact(300, new byte[SNAPSHOT_BYTES]);
        assertFalse(later.patchFor(251, SECOND, 0).replacesAll());
        assertTrue(later.patchFor(251, FIRST, 0).replacesAll());
        assertFalse(later.patchFor(250, FIRST, 0).replacesAll());
    }
}
