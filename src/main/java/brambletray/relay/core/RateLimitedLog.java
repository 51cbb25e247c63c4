package brambletray.relay.core;

import brambletray.common.runtime.Clock;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Log lines about what strangers do, a few a second at most: they may do it at full speed. What is left out
 * is counted. One thread.
 */
public final class RateLimitedLog {
    private static final int A_SECOND = 5;
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final Logger log;
    private final Clock clock;
    private long since;
    private int written;
    private long leftOut;

    public RateLimitedLog(Logger log, Clock clock) {
        this.log = log;
        this.clock = clock;
        this.since = clock.nanos();
    }

    public void warn(String text) {
        long now = clock.nanos();
        if (now - since >= SECOND) {
            if (leftOut > 0) {
                log.warn("{} more lines were left out", leftOut);
            }
            since = now;
            written = 0;
            leftOut = 0;
        }
        if (written < A_SECOND) {
            written++;
            log.warn(text);
        } else {
            leftOut++;
        }
    }
}
