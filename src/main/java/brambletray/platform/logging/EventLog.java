package brambletray.platform.logging;

import org.jboss.logging.Logger;

/**
 * Log lines that say why something was done: one JSON object a line, through JBoss Logging. Thread-safe.
 * {@link LogOutput#install} says where the lines go.
 *
 * <pre>{@code
 * private static final EventLog LOG = EventLog.of("replication");
 * LOG.info("view-installed").with("view", 7).with("ms", 120).log();
 * }</pre>
 */
public final class EventLog {
    static {
        LogOutput.selectProvider();
    }

    private final Logger logger;

    private EventLog(String category) {
        logger = Logger.getLogger(category);
    }

    /** The log of one package; {@code category} appears in each line as its {@code plane}. */
    public static EventLog of(String category) {
        return new EventLog(category);
    }

    /** Begins a line about something ordinary: rare at the usual pace, complete around a change. */
    public LogEventBuilder info(String event) {
        return LogEventBuilder.of(logger, Logger.Level.INFO, event);
    }

    /** Begins a line about something that an operator should look at. */
    public LogEventBuilder warn(String event) {
        return LogEventBuilder.of(logger, Logger.Level.WARN, event);
    }

    /** Begins a line that is of use only when looking for a fault. */
    public LogEventBuilder debug(String event) {
        return LogEventBuilder.of(logger, Logger.Level.DEBUG, event);
    }

    /** Logs a typed event, as a warning where it needs attention. */
    public void log(LogEvent event) {
        LogEventBuilder builder = event.needsAttention() ? warn(event.name()) : info(event.name());
        event.writeFields(builder::with);
        builder.log();
    }
}
