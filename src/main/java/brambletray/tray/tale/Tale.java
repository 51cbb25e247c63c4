package brambletray.tray.tale;

import org.jboss.logging.Logger;

/**
 * Log lines that say why: one JSON object a line, through JBoss Logging.
 * {@code Tale.of("view").tell("installed", "view", 7, "why", "...")}. Rare at the ordinary pace, complete around a
 * change. {@link Tales#begin} says where they go.
 */
public final class Tale {
    static {
        Tales.provide();
    }

    private final Logger logger;

    private Tale(String plane) {
        logger = Logger.getLogger(plane);
    }

    public static Tale of(String plane) {
        return new Tale(plane);
    }

    /** An event, and its facts as names and values in turn. */
    public void tell(String event, Object... facts) {
        if (logger.isInfoEnabled()) {
            logger.info(Line.of(event, facts));
        }
    }

    /** The same, for what an operator should look at. */
    public void warn(String event, Object... facts) {
        logger.warn(Line.of(event, facts));
    }

    /** The same, for what is of use only to who looks for a fault. */
    public void debug(String event, Object... facts) {
        if (logger.isDebugEnabled()) {
            logger.debug(Line.of(event, facts));
        }
    }
}
