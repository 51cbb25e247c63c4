package brambletray.platform.logging;

import org.jboss.logging.Logger;

/**
 * Log lines that say why: one JSON object a line, through JBoss Logging.
 * {@code EventLog.of("replication").tell("installed", "view", 7, "why", "...")}. Rare at the ordinary pace, complete
 * around a
 * change. {@link LogOutput#begin} says where they go.
 */
public final class EventLog {
    static {
        LogOutput.provide();
    }

    private final Logger logger;

    private EventLog(String plane) {
        logger = Logger.getLogger(plane);
    }

    public static EventLog of(String plane) {
        return new EventLog(plane);
    }

    /** An event, and its facts as names and values in turn. */
    public void tell(String event, Object... facts) {
        if (logger.isInfoEnabled()) {
            logger.info(LogLine.of(event, facts));
        }
    }

    /** The same, for what an operator should look at. */
    public void warn(String event, Object... facts) {
        logger.warn(LogLine.of(event, facts));
    }

    /** The same, for what is of use only to who looks for a fault. */
    public void debug(String event, Object... facts) {
        if (logger.isDebugEnabled()) {
            logger.debug(LogLine.of(event, facts));
        }
    }
}
