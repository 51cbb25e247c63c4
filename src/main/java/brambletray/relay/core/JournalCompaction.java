package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import brambletray.relay.journal.Journal;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The journal's compaction, in slices between the turns of the event loop. */
final class JournalCompaction {
    private static final Logger LOG = LoggerFactory.getLogger(JournalCompaction.class);
    /** How long one slice may take, ns; the gap to the next, us. */
    private static final long SLICE_BUDGET_NS = 500_000;

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

    /** Begins if there is need, and goes on while there is. */
    void startIfNeeded() {
        if (journal.wantsCompaction() && !isScheduled) {
            isScheduled = true;
            loop.execute(this::runSlice);
        }
    }

    /** One slice; the next one after what has come in meanwhile. */
    private void runSlice() {
        isScheduled = false;
        if (stopped.getAsBoolean() || !journal.wantsCompaction()) {
            return;
        }
        try {
            journal.compact(clock::nanos, SLICE_BUDGET_NS);
        } catch (IOException e) {
            LOG.error("store cannot be compacted: it grows until this is mended", e);
            return;
        }
        if (journal.wantsCompaction()) {
            isScheduled = true;
            loop.schedule(this::runSlice, SLICE_GAP_US, TimeUnit.MICROSECONDS);
        }
    }
}
