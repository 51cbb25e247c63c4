package brambletray.platform.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The order as one member has it: a snapshot of the state after some place, and the entries behind it. Two logs that
 * have an entry of the same place and view are the same up to there: within a view one leader gives the places, and all
 * its members begin with one log.
 */
final class ReplicatedLog {
    /** A snapshot is taken after so many delivered entries, or so many bytes in entries. */
    static final int MAX_ENTRIES_BEFORE_SNAPSHOT = 256;

    static final int MAX_BYTES_BEFORE_SNAPSHOT = 1 << 20;
    /**
     * Entries before the snapshot that are remembered, in memory only, for who lacks little of them; and their bytes.
     */
    private static final int MAX_COMPACTED_ENTRIES = 512;

    private static final int MAX_COMPACTED_BYTES = 1 << 20;

    private long snapshotIndex;
    private Ballot snapshotView;
    private byte[] snapshot;
    private final List<LogEntry> entries;
    private long entryBytes;
    /** Those that the last compactions took out of {@link #entries}, up to the snapshot's place without gaps. */
    private final ArrayDeque<LogEntry> compacted = new ArrayDeque<>();

    private long compactedBytes;
    /** View of the entry before the first of these. */
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

    /** Place of the snapshot. */
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

    /** Last place. */
    long lastIndex() {
        return snapshotIndex + entries.size();
    }

    Ballot lastView() {
        return viewAt(lastIndex());
    }

    /** View of the entry at this place; null when the place is behind the snapshot or not there. */
    Ballot viewAt(long index) {
        if (index == snapshotIndex) {
            return snapshotView;
        }
        return index < snapshotIndex || index > lastIndex()
                ? null
                : entryAt(index).view();
    }

    /** Entry at a place after the snapshot's, up to the end. */
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

    /** Bytes of the entries after one place up to another, of those behind the snapshot. */
    long bytesBetween(long after, long to) {
        long some = 0;
        for (long index = Math.max(after, snapshotIndex) + 1; index <= Math.min(to, lastIndex()); index++) {
            some += entryAt(index).bytes().length;
        }
        return some;
    }

    /** Entries after one place up to another; both lie between the snapshot's place and the end. */
    List<LogEntry> entriesBetween(long after, long to) {
        return List.copyOf(entries.subList((int) (after - snapshotIndex), (int) (to - snapshotIndex)));
    }

    /** Entries after a place, up to so many bytes but one at least. */
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

    /** Whether an entry of this proposal is there. */
    boolean containsProposal(long origin, long token) {
        for (LogEntry entry : entries) {
            if (entry.origin() == origin && entry.token() == token) {
                return true;
            }
        }
        return false;
    }

    /**
     * What a log lacks that ends so, and of which all up to {@code commit} is known to be kept (and so is in every
     * later log).
     */
    LogPatch patchFor(long end, Ballot endView, long commit) {
        if (endView.equals(viewAt(end))) {
            return patchAfter(end);
        }
        if (commit >= snapshotIndex && commit <= lastIndex()) {
            return patchAfter(commit);
        }
        LogPatch whole = new LogPatch(true, snapshotIndex, snapshotView, snapshot, List.copyOf(entries));
        LogPatch tail = patchFromCompacted(end, endView);
        return tail != null && tail.sizeBytes() <= whole.sizeBytes() ? tail : whole;
    }

    /** What follows a place before the snapshot; null if it isn't known any more, or the entry there is another. */
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

    /** Whether it is time for a snapshot, when all up to this place has been delivered. */
    boolean needsSnapshot(long delivered) {
        return delivered - snapshotIndex >= MAX_ENTRIES_BEFORE_SNAPSHOT
                || (entryBytes > MAX_BYTES_BEFORE_SNAPSHOT && delivered > snapshotIndex);
    }

    /** Replaces all up to this place by the state after it. */
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

    /** Puts into the map what turns the kept form of one log into that of the other. */
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
