package brambletray.platform.operations;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * The time of the replicated log, ms: applying the same batches in the same order gives the same time at all members.
 * Pure; not thread-safe.
 *
 * <p>Invariant: between two batches of the log, the clock advances by no more than the real time between their
 * creation, where the creation time of a batch is the latest of all batches up to it. It counts the time that one
 * proposer has measured between its own batches and, at the first batches of another proposer, the time since that one
 * had applied all preceding batches. Intervals that cannot be compared count as 0. So the clock does not advance while
 * a restart interrupts commits, and is not affected by steps of wall clocks.
 */
final class LogClock {
    private final long processId;
    private long timeMs;
    /** Number of batches applied. */
    private long sequence;
    /** The proposer of the last batch; 0: no batch yet. */
    private long proposer;
    /** Latest creation time of the proposer's batches after {@link #foreignSequence}, by its monotonic clock. */
    private long lastCreatedAtMs = Long.MIN_VALUE;
    /** Number of the last batch from a different proposer. */
    private long foreignSequence;
    /** When this process applied the last batch of another proposer, by its monotonic clock, rounded up. */
    private long foreignAppliedAtMs;

    /** {@code self}: identifies this process, not 0; {@code nowMs}: monotonic clock. */
    LogClock(long processId, long nowMs) {
        this.processId = processId;
        foreignAppliedAtMs = nowMs + 1;
    }

    /** The time as of the last batch. */
    long timeMs() {
        return timeMs;
    }

    /** Estimates the log time of a batch that is created now, if that batch is the next in the log. */
    long estimateMs(long nowMs) {
        long startMs = proposer == processId ? Math.max(foreignAppliedAtMs, lastCreatedAtMs) : foreignAppliedAtMs;
        return timeMs + Math.max(0, nowMs - startMs);
    }

    /** The stamp of a batch that this process creates now. */
    BatchStamp stamp(long nowMs) {
        return new BatchStamp(processId, nowMs, proposer == processId ? foreignSequence : sequence, foreignAppliedAtMs);
    }

    /** Applies the next batch of the log; {@code nowMs}: monotonic clock of this process. */
    void advance(BatchStamp stamp, long nowMs) {
        if (stamp.proposer() != proposer) {
            proposer = stamp.proposer();
            foreignSequence = sequence;
            lastCreatedAtMs = Long.MIN_VALUE;
        }
        if (stamp.foreignSequence() >= foreignSequence) {
            long startMs = Math.max(stamp.foreignAppliedAtMs(), lastCreatedAtMs);
            timeMs += Math.max(0, stamp.createdAtMs() - startMs);
        }
        lastCreatedAtMs = Math.max(lastCreatedAtMs, stamp.createdAtMs());
        sequence++;
        if (proposer != processId) {
            foreignAppliedAtMs = nowMs + 1;
        }
    }

    void write(DataOutputStream out) throws IOException {
        out.writeLong(timeMs);
        out.writeLong(sequence);
        out.writeLong(proposer);
        out.writeLong(lastCreatedAtMs);
        out.writeLong(foreignSequence);
    }

    /** Reads what {@link #write} has written, for this process at {@code nowMs}. */
    static LogClock read(DataInputStream in, long processId, long nowMs) throws IOException {
        LogClock clock = new LogClock(processId, nowMs);
        clock.timeMs = in.readLong();
        clock.sequence = in.readLong();
        clock.proposer = in.readLong();
        clock.lastCreatedAtMs = in.readLong();
        clock.foreignSequence = in.readLong();
        return clock;
    }
}
