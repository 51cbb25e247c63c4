package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import brambletray.relay.journal.Journal;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compacts the journal in short slices between the turns of the event loop. */
final class JournalCompaction {
    private static final Logger LOG = LoggerFactory.getLogger(JournalCompaction.class);
    /** ns; maximum duration of one slice. */
    private static final long SLICE_BUDGET_NS = 500_000;
    /** us; delay between slices. */
    private static final long SLICE_GAP_US = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Journal journal;
    private final BooleanSupplier stopped;
    private boolean isScheduled;

    JournalCompaction(EventLoop loop, Clock clock, Journal journal, BooleanSupplier stopped) {
        this.loop = loop;
        this.clock = clock;
        this.journal = journal;
        this.stopped = stopped;
    }

    /** Starts compaction if the journal needs it; it then continues until it is done. */
    void startIfNeeded() {
        if (journal.wantsCompaction() && !isScheduled) {
            isScheduled = true;
            loop.execute(this::runSlice);
        }
    }

    /** Runs one slice and schedules the next, so that input that arrived meanwhile is handled in between. */
    private void runSlice() {
        isScheduled = false;
        if (stopped.getAsBoolean() || !journal.wantsCompaction()) {
            return;
        }
        try {
            journal.compact(clock::nanos, SLICE_BUDGET_NS);
        } catch (IOException e) {
            LOG.error("store compaction failed; the store grows until the cause is fixed", e);
            return;
        }
        if (journal.wantsCompaction()) {
            isScheduled = true;
            loop.schedule(this::runSlice, SLICE_GAP_US, TimeUnit.MICROSECONDS);
        }
    }
}
