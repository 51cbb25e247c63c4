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
    static final int ENTRIES = 256;

    static final int BYTES = 1 << 20;
    /**
     * Entries before the snapshot that are remembered, in memory only, for who lacks little of them; and their bytes.
     */
    private static final int TRAIL_ENTRIES = 512;

    private static final int TRAIL_BYTES = 1 << 20;

    private long base;
    private Ballot baseView;
    private byte[] snapshot;
    private final List<LogEntry> entries;
    private long bytes;
    /** Those that the last compactions took out of {@link #entries}, up to the snapshot's place without gaps. */
    private final ArrayDeque<LogEntry> trail = new ArrayDeque<>();

    private long trailBytes;
    /** View of the entry before the first of these. */
    private Ballot trailView = Ballot.NONE;

    ReplicatedLog(long base, Ballot baseView, byte[] snapshot, List<LogEntry> entries) {
        this.base = base;
        this.baseView = baseView;
        this.snapshot = snapshot;
        this.entries = new ArrayList<>(entries);
        for (LogEntry entry : entries) {
            bytes += entry.bytes().length;
        }
    }

    static ReplicatedLog empty() {
        return new ReplicatedLog(0, Ballot.NONE, new byte[0], List.of());
    }

    /** Place of the snapshot. */
    long base() {
        return base;
    }

    Ballot baseView() {
        return baseView;
    }

    byte[] snapshot() {
        return snapshot;
    }

    List<LogEntry> entries() {
        return entries;
    }

    /** Last place. */
    long end() {
        return base + entries.size();
    }

    Ballot endView() {
        return viewAt(end());
    }

    /** View of the entry at this place; null when the place is behind the snapshot or not there. */
    Ballot viewAt(long place) {
        if (place == base) {
            return baseView;
        }
        return place < base || place > end() ? null : at(place).view();
    }

    /** Entry at a place after the snapshot's, up to the end. */
    LogEntry at(long place) {
        return entries.get((int) (place - base - 1));
    }

    void append(LogEntry entry) {
        if (entry.index() != end() + 1) {
            throw new ReplicationException("replication.gap", "entry " + entry.index() + " after " + end());
        }
        entries.add(entry);
        bytes += entry.bytes().length;
    }

    /** Bytes of the entries after one place up to another, of those behind the snapshot. */
    long bytes(long after, long to) {
        long some = 0;
        for (long place = Math.max(after, base) + 1; place <= Math.min(to, end()); place++) {
            some += at(place).bytes().length;
        }
        return some;
    }

    /** Entries after one place up to another; both lie between the snapshot's place and the end. */
    List<LogEntry> between(long after, long to) {
        return List.copyOf(entries.subList((int) (after - base), (int) (to - base)));
    }

    /** Entries after a place, up to so many bytes but one at least. */
    List<LogEntry> after(long place, int most) {
        List<LogEntry> some = new ArrayList<>();
        int size = 0;
        for (long at = place + 1; at <= end(); at++) {
            LogEntry entry = at(at);
            size += entry.bytes().length + 64;
            if (size > most && !some.isEmpty()) {
                break;
            }
            some.add(entry);
        }
        return some;
    }

    /** Whether an entry of this proposal is there. */
    boolean has(long origin, long token) {
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
    LogPatch since(long end, Ballot endView, long commit) {
        if (endView.equals(viewAt(end))) {
            return cut(end);
        }
        if (commit >= base && commit <= end()) {
            return cut(commit);
        }
        LogPatch whole = new LogPatch(true, base, baseView, snapshot, List.copyOf(entries));
        LogPatch tail = trail(end, endView);
        return tail != null && tail.bytes() <= whole.bytes() ? tail : whole;
    }

    /** What follows a place before the snapshot; null if it isn't known any more, or the entry there is another. */
    private LogPatch trail(long end, Ballot endView) {
        long before = base - trail.size();
        if (end < before || end >= base) {
            return null;
        }
        List<LogEntry> some = new ArrayList<>();
        Ballot view = trailView;
        for (LogEntry entry : trail) {
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

    private LogPatch cut(long place) {
        return new LogPatch(
                false,
                place,
                viewAt(place),
                new byte[0],
                List.copyOf(entries.subList((int) (place - base), entries.size())));
    }

    /** This log after the patch, or null if the patch doesn't fit. */
    ReplicatedLog patched(LogPatch patch) {
        if (patch.whole()) {
            return new ReplicatedLog(patch.after(), patch.afterView(), patch.snapshot(), patch.entries());
        }
        if (!patch.afterView().equals(viewAt(patch.after()))) {
            return null;
        }
        ReplicatedLog log =
                new ReplicatedLog(base, baseView, snapshot, entries.subList(0, (int) (patch.after() - base)));
        for (LogEntry entry : patch.entries()) {
            log.append(entry);
        }
        log.trail.addAll(trail);
        log.trailBytes = trailBytes;
        log.trailView = trailView;
        return log;
    }

    /** Whether it is time for a snapshot, when all up to this place has been delivered. */
    boolean full(long delivered) {
        return delivered - base >= ENTRIES || (bytes > BYTES && delivered > base);
    }

    /** Replaces all up to this place by the state after it. */
    void compact(long place, byte[] state) {
        Ballot view = viewAt(place);
        List<LogEntry> gone = entries.subList(0, (int) (place - base));
        if (trail.isEmpty()) {
            trailView = baseView;
        }
        for (LogEntry entry : gone) {
            bytes -= entry.bytes().length;
            trail.add(entry);
            trailBytes += entry.bytes().length;
        }
        gone.clear();
        while (trail.size() > TRAIL_ENTRIES || trailBytes > TRAIL_BYTES) {
            LogEntry first = trail.remove();
            trailBytes -= first.bytes().length;
            trailView = first.view();
        }
        base = place;
        baseView = view;
        snapshot = state;
    }

    /** Puts into the map what turns the kept form of one log into that of the other. */
    static void differences(ReplicatedLog before, ReplicatedLog now, Map<String, byte[]> changes) {
        if (before.base != now.base || !before.baseView.equals(now.baseView)) {
            changes.put(DurableState.SNAP, ReplicationCodec.snap(now));
        }
        for (LogEntry entry : before.entries) {
            if (!entry.view().equals(now.viewAt(entry.index())) || entry.index() <= now.base) {
                changes.put(DurableState.key(entry.index()), null);
            }
        }
        for (LogEntry entry : now.entries) {
            if (entry.index() <= before.base || !entry.view().equals(before.viewAt(entry.index()))) {
                changes.put(DurableState.key(entry.index()), ReplicationCodec.entry(entry));
            }
        }
    }
}
