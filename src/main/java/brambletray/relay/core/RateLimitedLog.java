package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs warnings that remote peers can trigger, limited to a few lines per second so that a peer cannot flood the log.
 * Suppressed lines are counted. Not thread-safe.
 */
public final class RateLimitedLog {
    private static final int LINES_PER_WINDOW = 5;
    private static final long WINDOW_NS = TimeUnit.SECONDS.toNanos(1);
    private final Logger log;
    private final Clock clock;
    private long windowStartNs;
    private int written;
    private long suppressed;

    public RateLimitedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
        this.windowStartNs = clock.nanos();
    }

    public void warn(String text) {
        long now = clock.nanos();
        if (now - windowStartNs >= WINDOW_NS) {
            if (suppressed > 0) {
                log.warn("{} more lines suppressed", suppressed);
            }
            windowStartNs = now;
            written = 0;
            suppressed = 0;
        }
        if (written < LINES_PER_WINDOW) {
            written++;
            log.warn(text);
        } else {
            suppressed++;
        }
    }
}
