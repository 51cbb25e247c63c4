package brambletray.platform.proxy;

import brambletray.platform.logging.EventLog;
import brambletray.platform.logging.LogEventBuilder;

/** Logs a few lines a second at most: what goes wrong with one request may go wrong with thousands. */
final class RateLimitedLog {
    private static final int MAX_LINES_PER_SECOND = 3;
    private static final int MS_PER_SECOND = 1_000;

    private final EventLog log = EventLog.of("proxy");
    private long currentSecond;
    private int linesThisSecond;

    /**
     * Begins a log line, which is dropped if this second's limit is reached; {@code nowMs}: ms of the steady clock.
     */
    LogEventBuilder info(long nowMs, String event) {
        if (nowMs / MS_PER_SECOND != currentSecond) {
            currentSecond = nowMs / MS_PER_SECOND;
            linesThisSecond = 0;
        }
        return linesThisSecond++ < MAX_LINES_PER_SECOND ? log.info(event) : LogEventBuilder.disabled();
    }
}
