package brambletray.platform.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The log of one member: a snapshot of the state at an index, and the entries after it. Two logs that hold an entry
 * with the same index and view are identical up to that entry: within a view a single leader assigns the indices, and
 * all members start from the same log (the log matching property of Raft).
 */
final class ReplicatedLog {
    /** A snapshot is taken after this many applied entries, or {@link #MAX_BYTES_BEFORE_SNAPSHOT} bytes of entries. */
    static final int MAX_ENTRIES_BEFORE_SNAPSHOT = 256;

    static final int MAX_BYTES_BEFORE_SNAPSHOT = 1 << 20;
    /**
     * Bound of the entries before the snapshot that are retained in memory for members that lack only a few of them;
     * {@link #MAX_COMPACTED_BYTES} bounds their size.
     */
    private static final int MAX_COMPACTED_ENTRIES = 512;

    private static final int MAX_COMPACTED_BYTES = 1 << 20;

    private long snapshotIndex;
    private Ballot snapshotView;
    private byte[] snapshot;
    private final List<LogEntry> entries;
    private long entryBytes;
    /** Entries that recent compactions removed from {@link #entries}, contiguous up to the snapshot. */
    private final ArrayDeque<LogEntry> compacted = new ArrayDeque<>();

    private long compactedBytes;
    /** View ballot of the entry before the first one in {@link #compacted}. */
    private Ballot viewBeforeCompacted = Ballot.NONE;

    ReplicatedLog(long snapshotIndex, Ballot snapshotView, byte[] snapshot, List<LogEntry> entries) {
        this.snapshotIndex = snapshotIndex;
        this.snapshotView = snapshotView;
        this.snapshot = snapshot;
        this.entries = new ArrayList<>(entries);
        for (LogEntry entry : entries) {
            entryBytes += entry.bytes().length;
        }
    }

    static ReplicatedLog empty() {
        return new ReplicatedLog(0, Ballot.NONE, new byte[0], List.of());
    }

    long snapshotIndex() {
        return snapshotIndex;
    }

    Ballot snapshotView() {
        return snapshotView;
    }

    byte[] snapshot() {
        return snapshot;
    }

    List<LogEntry> entries() {
        return entries;
    }

    /** Index of the last entry, or of the snapshot if there are no entries. */
    long lastIndex() {
        return snapshotIndex + entries.size();
    }

    Ballot lastView() {
        return viewAt(lastIndex());
    }

    /** View ballot of the entry at this index; null if the index is before the snapshot or after the last entry. */
    Ballot viewAt(long index) {
        if (index == snapshotIndex) {
            return snapshotView;
        }
        return index < snapshotIndex || index > lastIndex()
                ? null
                : entryAt(index).view();
    }

    /** The entry at an index after that of the snapshot. */
    LogEntry entryAt(long index) {
        return entries.get((int) (index - snapshotIndex - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new ReplicationException(
                    "replication.gap", "cannot append entry " + entry.index() + " after index " + lastIndex());
        }
        entries.add(entry);
        entryBytes += entry.bytes().length;
    }

    /** Size in bytes of the entries after {@code after} up to {@code to}, without those before the snapshot. */
    long bytesBetween(long after, long to) {
        long bytes = 0;
        for (long index = Math.max(after, snapshotIndex) + 1; index <= Math.min(to, lastIndex()); index++) {
            bytes += entryAt(index).bytes().length;
        }
        return bytes;
    }

    /** Entries after {@code after} up to {@code to}; both lie between the snapshot and the last index. */
    List<LogEntry> entriesBetween(long after, long to) {
        return List.copyOf(entries.subList((int) (after - snapshotIndex), (int) (to - snapshotIndex)));
    }

    /** Entries after an index, limited to {@code maxBytes} but at least one. */
    List<LogEntry> entriesAfter(long index, int maxBytes) {
        List<LogEntry> result = new ArrayList<>();
        int size = 0;
        for (long nextIndex = index + 1; nextIndex <= lastIndex(); nextIndex++) {
            LogEntry entry = entryAt(nextIndex);
            size += entry.bytes().length + 64;
            if (size > maxBytes && !result.isEmpty()) {
                break;
            }
            result.add(entry);
        }
        return result;
    }

    boolean containsProposal(long origin, long token) {
        for (LogEntry entry : entries) {
            if (entry.origin() == origin && entry.token() == token) {
                return true;
            }
        }
        return false;
    }

    /**
     * The patch for a log that ends with this index and view and is known to be committed up to {@code commitIndex},
     * so that every later log contains that part.
     */
    LogPatch patchFor(long endIndex, Ballot endView, long commitIndex) {
        if (endView.equals(viewAt(endIndex))) {
            return patchAfter(endIndex);
        }
        if (commitIndex >= snapshotIndex && commitIndex <= lastIndex()) {
            return patchAfter(commitIndex);
        }
        LogPatch fullLog = new LogPatch(true, snapshotIndex, snapshotView, snapshot, List.copyOf(entries));
        LogPatch tail = patchFromCompacted(endIndex, endView);
        return tail != null && tail.sizeBytes() <= fullLog.sizeBytes() ? tail : fullLog;
    }

    /**
     * The entries after an index before the snapshot; null if they are no longer retained, or the entry at that index
     * belongs to another view.
     */
    private LogPatch patchFromCompacted(long endIndex, Ballot endView) {
        long indexBeforeCompacted = snapshotIndex - compacted.size();
        if (endIndex < indexBeforeCompacted || endIndex >= snapshotIndex) {
            return null;
        }
        List<LogEntry> missing = new ArrayList<>();
        Ballot view = viewBeforeCompacted;
        for (LogEntry entry : compacted) {
            if (entry.index() == endIndex) {
                view = entry.view();
            }
            if (entry.index() > endIndex) {
                missing.add(entry);
            }
        }
        if (!view.equals(endView)) {
            return null;
        }
        missing.addAll(entries);
        return new LogPatch(false, endIndex, endView, new byte[0], missing);
    }

    private LogPatch patchAfter(long index) {
        return new LogPatch(
                false,
                index,
                viewAt(index),
                new byte[0],
                List.copyOf(entries.subList((int) (index - snapshotIndex), entries.size())));
    }

    /** This log with the patch applied, or null if the patch does not match it. */
    ReplicatedLog patched(LogPatch patch) {
        if (patch.replacesAll()) {
            return new ReplicatedLog(patch.previousIndex(), patch.previousView(), patch.snapshot(), patch.entries());
        }
        if (!patch.previousView().equals(viewAt(patch.previousIndex()))) {
            return null;
        }
        ReplicatedLog log = new ReplicatedLog(snapshotIndex, snapshotView, snapshot, entries.subList(0, (int)
                (patch.previousIndex() - snapshotIndex)));
        for (LogEntry entry : patch.entries()) {
            log.append(entry);
        }
        log.compacted.addAll(compacted);
        log.compactedBytes = compactedBytes;
        log.viewBeforeCompacted = viewBeforeCompacted;
        return log;
    }

    /** Whether a snapshot is due once everything up to this index has been applied. */
    boolean needsSnapshot(long appliedIndex) {
        return appliedIndex - snapshotIndex >= MAX_ENTRIES_BEFORE_SNAPSHOT
                || (entryBytes > MAX_BYTES_BEFORE_SNAPSHOT && appliedIndex > snapshotIndex);
    }

    /** Replaces everything up to this index by a snapshot of the state at that index. */
    void compact(long index, byte[] state) {
        Ballot view = viewAt(index);
        List<LogEntry> removed = entries.subList(0, (int) (index - snapshotIndex));
        if (compacted.isEmpty()) {
            viewBeforeCompacted = snapshotView;
        }
        for (LogEntry entry : removed) {
            entryBytes -= entry.bytes().length;
            compacted.add(entry);
            compactedBytes += entry.bytes().length;
        }
        removed.clear();
        while (compacted.size() > MAX_COMPACTED_ENTRIES || compactedBytes > MAX_COMPACTED_BYTES) {
            LogEntry first = compacted.remove();
            compactedBytes -= first.bytes().length;
            viewBeforeCompacted = first.view();
        }
        snapshotIndex = index;
        snapshotView = view;
        snapshot = state;
    }

    /** Adds the key changes that turn one stored log into the other; a null value removes the key. */
    static void collectChanges(ReplicatedLog before, ReplicatedLog after, Map<String, byte[]> changes) {
        if (before.snapshotIndex != after.snapshotIndex || !before.snapshotView.equals(after.snapshotView)) {
            changes.put(DurableState.SNAPSHOT_KEY, ReplicationCodec.snapshot(after));
        }
        for (LogEntry entry : before.entries) {
            if (!entry.view().equals(after.viewAt(entry.index())) || entry.index() <= after.snapshotIndex) {
                changes.put(DurableState.logKey(entry.index()), null);
            }
        }
        for (LogEntry entry : after.entries) {
            if (entry.index() <= before.snapshotIndex || !entry.view().equals(before.viewAt(entry.index()))) {
                changes.put(DurableState.logKey(entry.index()), ReplicationCodec.entry(entry));
            }
        }
    }
}
