package brambletray.platform.proxy;

import brambletray.platform.logging.EventLog;

/** Tells a tale a few times a second at most: what goes wrong with one request may go wrong with thousands. */
final class RateLimitedLog {
    private static final int A_SECOND = 3;

    private final EventLog log = EventLog.of("proxy");
    private long second;
    private int told;

    /** {@code now}: ms of the steady clock. */
    void tell(long now, String event, Object... facts) {
        if (now / 1_000 != second) {
            second = now / 1_000;
            told = 0;
        }
        if (told++ < A_SECOND) {
            log.tell(event, facts);
        }
    }
}
