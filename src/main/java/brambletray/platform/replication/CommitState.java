package brambletray.platform.replication;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The log of this member and how far it is durable, committed and applied. Invariants: {@code snapshotIndex <=
 * appliedIndex <= commitIndex <= lastIndex}; the commit index never decreases; entries are applied once, in order.
 */
final class CommitState {
    private final StateMachine stateMachine;
    private final AppliedEntryListener listener;
    private ReplicatedLog log = ReplicatedLog.empty();
    private long commitIndex;
    private long appliedIndex;
    private long durableIndex;
    private long viewStartIndex = Long.MAX_VALUE;

    CommitState(StateMachine stateMachine, AppliedEntryListener listener) {
        this.stateMachine = stateMachine;
        this.listener = listener;
    }

    /** Restores the log that was read from disk. Entries after its snapshot are applied once they are committed. */
    void restore(ReplicatedLog stored) {
        log = stored;
        durableIndex = stored.lastIndex();
        stateMachine.restore(stored.snapshot());
        appliedIndex = stored.snapshotIndex();
        commitIndex = stored.snapshotIndex();
    }

    ReplicatedLog log() {
        return log;
    }

    /** Last index that is known to be committed. */
    long commitIndex() {
        return commitIndex;
    }

    /** Last index that the state machine has applied. */
    long appliedIndex() {
        return appliedIndex;
    }

    /** Last index that is on this member's disk as part of the log of the current view. */
    long durableIndex() {
        return durableIndex;
    }

    /** Last index of the log that the view started with. No entry committed in an earlier view has a higher index. */
    long viewStartIndex() {
        return viewStartIndex;
    }

    /** Records that the log is on disk up to this index. */
    void advanceDurable(long index) {
        durableIndex = Math.max(durableIndex, index);
    }

    /** Records the last index of the log that the active view started with. */
    void setViewStartIndex(long index) {
        viewStartIndex = index;
    }

    /** Whether the commit index covers every entry that was committed in earlier views. */
    boolean coversEarlierViews() {
        return commitIndex >= viewStartIndex;
    }

    /** Whether replacing the log with this one would lose an entry that is known to be committed. */
    boolean losesCommitted(ReplicatedLog chosen) {
        if (chosen.lastIndex() < commitIndex) {
            return true;
        }
        boolean comparable = commitIndex >= chosen.snapshotIndex() && commitIndex >= log.snapshotIndex();
        return comparable && !chosen.viewAt(commitIndex).equals(log.viewAt(commitIndex));
    }

    /**
     * Replaces the log with that of a new view. None of it counts as durable before it is synced.
     *
     * @return the changes to write to disk, by key
     */
    Map<String, byte[]> replaceLog(ReplicatedLog chosen) {
        Map<String, byte[]> changes = new LinkedHashMap<>();
        ReplicatedLog.collectChanges(log, chosen, changes);
        log = chosen;
        viewStartIndex = Long.MAX_VALUE;
        durableIndex = 0;
        return changes;
    }

    /** Replaces the state if the snapshot of the log is ahead of it. */
    void installSnapshotIfAhead() {
        if (log.snapshotIndex() <= appliedIndex) {
            return;
        }
        stateMachine.restore(log.snapshot());
        appliedIndex = log.snapshotIndex();
        commitIndex = Math.max(commitIndex, appliedIndex);
        listener.onSnapshotInstalled();
    }

    /**
     * Commits and applies all entries up to this index, and takes a snapshot if the log has become too long.
     *
     * @return the changes to write to disk, by key; empty if no snapshot was taken
     */
    Map<String, byte[]> advanceCommit(long index) {
        commitIndex = Math.max(commitIndex, Math.min(index, log.lastIndex()));
        while (appliedIndex < commitIndex) {
            LogEntry entry = log.entryAt(appliedIndex + 1);
            appliedIndex++;
            stateMachine.apply(entry.index(), entry.bytes());
            listener.onApplied(entry);
        }
        if (!log.needsSnapshot(appliedIndex)) {
            return Map.of();
        }
        ReplicatedLog before =
                new ReplicatedLog(log.snapshotIndex(), log.snapshotView(), log.snapshot(), log.entries());
        log.compact(appliedIndex, stateMachine.snapshot());
        Map<String, byte[]> changes = new LinkedHashMap<>();
        ReplicatedLog.collectChanges(before, log, changes);
        return changes;
    }
}
