package brambletray.platform.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The log of one member: a snapshot of the state at an index, and the entries after it. Two logs that have an entry
 * with the same index and view are the same up to there: within a view one leader assigns the indices, and all its
 * members begin with one log (Raft: log matching property).
 */
final class ReplicatedLog {
    /** A snapshot is taken after so many applied entries, or so many bytes of entries. */
    static final int MAX_ENTRIES_BEFORE_SNAPSHOT = 256;

    static final int MAX_BYTES_BEFORE_SNAPSHOT = 1 << 20;
    /**
     * Entries before the snapshot that are remembered, in memory only, for members that lack a few of them; and their
     * bytes.
     */
    private static final int MAX_COMPACTED_ENTRIES = 512;

    private static final int MAX_COMPACTED_BYTES = 1 << 20;

    private long snapshotIndex;
    private Ballot snapshotView;
    private byte[] snapshot;
    private final List<LogEntry> entries;
    private long entryBytes;
    /** Entries that the last compactions took out of {@link #entries}, up to the snapshot without gaps. */
    private final ArrayDeque<LogEntry> compacted = new ArrayDeque<>();

    private long compactedBytes;
    /** Ballot of the view of the entry before the first of {@link #compacted}. */
    private Ballot viewBeforeCompacted = Ballot.NONE;

    ReplicatedLog(long base, Ballot baseView, byte[] snapshot, List<LogEntry> entries) {
        this.snapshotIndex = base;
        this.snapshotView = baseView;
        this.snapshot = snapshot;
        this.entries = new ArrayList<>(entries);
        for (LogEntry entry : entries) {
            entryBytes += entry.bytes().length;
        }
    }

    static ReplicatedLog empty() {
        return new ReplicatedLog(0, Ballot.NONE, new byte[0], List.of());
    }

    /** Index of the snapshot. */
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

    /** Index of the last entry. */
    long lastIndex() {
        return snapshotIndex + entries.size();
    }

    Ballot lastView() {
        return viewAt(lastIndex());
    }

    /** Ballot of the view of the entry at this index; null if the index is before the snapshot or after the end. */
    Ballot viewAt(long index) {
        if (index == snapshotIndex) {
            return snapshotView;
        }
        return index < snapshotIndex || index > lastIndex()
                ? null
                : entryAt(index).view();
    }

    /** Entry at an index after the snapshot's, up to the end. */
    LogEntry entryAt(long index) {
        return entries.get((int) (index - snapshotIndex - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new ReplicationException("replication.gap", "entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
        entryBytes += entry.bytes().length;
    }

    /** Bytes of the entries after one index up to another, as far as they follow the snapshot. */
    long bytesBetween(long after, long to) {
        long some = 0;
        for (long index = Math.max(after, snapshotIndex) + 1; index <= Math.min(to, lastIndex()); index++) {
            some += entryAt(index).bytes().length;
        }
        return some;
    }

    /** Entries after one index up to another; both lie between the snapshot and the end. */
    List<LogEntry> entriesBetween(long after, long to) {
        return List.copyOf(entries.subList((int) (after - snapshotIndex), (int) (to - snapshotIndex)));
    }

    /** Entries after an index, up to so many bytes but one at least. */
    List<LogEntry> entriesAfter(long index, int most) {
        List<LogEntry> some = new ArrayList<>();
        int size = 0;
        for (long at = index + 1; at <= lastIndex(); at++) {
            LogEntry entry = entryAt(at);
            size += entry.bytes().length + 64;
            if (size > most && !some.isEmpty()) {
                break;
            }
            some.add(entry);
        }
        return some;
    }

    /** Whether the entries contain this proposal. */
    boolean containsProposal(long origin, long token) {
        for (LogEntry entry : entries) {
            if (entry.origin() == origin && entry.token() == token) {
                return true;
            }
        }
        return false;
    }

    /**
     * What a log lacks that ends with this index and view, and of which everything up to {@code commit} is known to
     * be committed, and so is in every later log.
     */
    LogPatch patchFor(long end, Ballot endView, long commit) {
        if (endView.equals(viewAt(end))) {
            return patchAfter(end);
        }
        if (commit >= snapshotIndex && commit <= lastIndex()) {
            return patchAfter(commit);
        }
        LogPatch fullLog = new LogPatch(true, snapshotIndex, snapshotView, snapshot, List.copyOf(entries));
        LogPatch tail = patchFromCompacted(end, endView);
        return tail != null && tail.sizeBytes() <= fullLog.sizeBytes() ? tail : fullLog;
    }

    /**
     * What follows an index before the snapshot; null if that is not remembered, or the entry there is another one.
     */
    private LogPatch patchFromCompacted(long end, Ballot endView) {
        long before = snapshotIndex - compacted.size();
        if (end < before || end >= snapshotIndex) {
            return null;
        }
        List<LogEntry> some = new ArrayList<>();
        Ballot view = viewBeforeCompacted;
        for (LogEntry entry : compacted) {
            if (entry.index() == end) {
                view = entry.view();
            }
            if (entry.index() > end) {
                some.add(entry);
            }
        }
        if (!view.equals(endView)) {
            return null;
        }
        some.addAll(entries);
        return new LogPatch(false, end, endView, new byte[0], some);
    }

    private LogPatch patchAfter(long index) {
        return new LogPatch(
                false,
                index,
                viewAt(index),
                new byte[0],
                List.copyOf(entries.subList((int) (index - snapshotIndex), entries.size())));
    }

    /** This log after the patch, or null if the patch doesn't fit. */
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

    /** Whether it is time for a snapshot, when everything up to this index has been applied. */
    boolean needsSnapshot(long delivered) {
        return delivered - snapshotIndex >= MAX_ENTRIES_BEFORE_SNAPSHOT
                || (entryBytes > MAX_BYTES_BEFORE_SNAPSHOT && delivered > snapshotIndex);
    }

    /** Replaces everything up to this index by the state at it. */
    void compact(long index, byte[] state) {
        Ballot view = viewAt(index);
        List<LogEntry> gone = entries.subList(0, (int) (index - snapshotIndex));
        if (compacted.isEmpty()) {
            viewBeforeCompacted = snapshotView;
        }
        for (LogEntry entry : gone) {
            entryBytes -= entry.bytes().length;
            compacted.add(entry);
            compactedBytes += entry.bytes().length;
        }
        gone.clear();
        while (compacted.size() > MAX_COMPACTED_ENTRIES || compactedBytes > MAX_COMPACTED_BYTES) {
            LogEntry first = compacted.remove();
            compactedBytes -= first.bytes().length;
            viewBeforeCompacted = first.view();
        }
        snapshotIndex = index;
        snapshotView = view;
        snapshot = state;
    }

    /** Puts into the map the changes of keys on disk that turn one log into the other. */
    static void collectChanges(ReplicatedLog before, ReplicatedLog now, Map<String, byte[]> changes) {
        if (before.snapshotIndex != now.snapshotIndex || !before.snapshotView.equals(now.snapshotView)) {
            changes.put(DurableState.SNAPSHOT_KEY, ReplicationCodec.snapshot(now));
        }
        for (LogEntry entry : before.entries) {
            if (!entry.view().equals(now.viewAt(entry.index())) || entry.index() <= now.snapshotIndex) {
                changes.put(DurableState.logKey(entry.index()), null);
            }
        }
        for (LogEntry entry : now.entries) {
            if (entry.index() <= before.snapshotIndex || !entry.view().equals(before.viewAt(entry.index()))) {
                changes.put(DurableState.logKey(entry.index()), ReplicationCodec.entry(entry));
            }
        }
    }
}
