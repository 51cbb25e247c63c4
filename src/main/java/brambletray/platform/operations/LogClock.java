package brambletray.platform.operations;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * The time of the replicated log, ms. The same batches in the same order lead to the same time at all members. Pure,
 * for one thread.
 *
 * <p>Invariant: between two batches of the log it advances by no more than the real time between the moments at which
 * they were made (the latest of those up to each of them). It counts the time that one proposer has measured between
 * its own batches, and at another proposer's first batches the time since that one had applied all before; what cannot
 * be compared counts as nothing. So it stands still while no batch is committed for a restart, and steps of wall clocks
 * do not reach it.
 */
final class LogClock {
    private final long processId;
    private long timeMs;
    /** Batches that have been applied. */
    private long sequence;
    /** Of the last batch; 0: none yet. */
    private long proposer;
    /** The latest of the proposer's batches that follow {@link #foreignSequence}, by its steady clock. */
    private long lastCreatedAtMs = Long.MIN_VALUE;
    /** Number of the last batch that is not the proposer's. */
    private long foreignSequence;
    /** When this process had applied the last batch of another, by its steady clock, rounded up. */
    private long foreignAppliedAtMs;

    /** {@code self}: names this process, not 0; {@code nowMs}: steady clock. */
    LogClock(long processId, long nowMs) {
        this.processId = processId;
        foreignAppliedAtMs = nowMs + 1;
    }

    /** As of the last batch. */
    long timeMs() {
        return timeMs;
    }

    /** What the time would be after a batch that is made now and is the next in the log. */
    long estimateMs(long nowMs) {
        long startMs = proposer == processId ? Math.max(foreignAppliedAtMs, lastCreatedAtMs) : foreignAppliedAtMs;
        return timeMs + Math.max(0, nowMs - startMs);
    }

    /** Of a batch that this process makes now. */
    BatchStamp stamp(long nowMs) {
        return new BatchStamp(processId, nowMs, proposer == processId ? foreignSequence : sequence, foreignAppliedAtMs);
    }

    /** The next batch of the log, applied here at {@code nowMs} of the steady clock. */
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

    /** The clock that {@link #write} has written, at this process and moment. */
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
