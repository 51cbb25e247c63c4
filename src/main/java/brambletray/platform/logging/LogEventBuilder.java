package brambletray.platform.logging;

import org.jboss.logging.Logger;

/**
 * Collects the fields of one log line: {@code LOG.info("started").with("node", node).log()}. Used on one thread, once;
 * nothing is written without {@link #log}. A builder of a level that is switched off drops everything.
 */
public final class LogEventBuilder {
    /** For levels that are switched off, and lines beyond a rate limit. */
    private static final LogEventBuilder DISABLED = new LogEventBuilder(null, null, null);

    private final Logger logger;
    private final Logger.Level level;
    private final StringBuilder line;

    private LogEventBuilder(Logger logger, Logger.Level level, StringBuilder line) {
        this.logger = logger;
        this.level = level;
        this.line = line;
    }

    /** A builder that drops everything. */
    public static LogEventBuilder disabled() {
        return DISABLED;
    }

    static LogEventBuilder of(Logger logger, Logger.Level level, String event) {
        return logger.isEnabled(level) ? new LogEventBuilder(logger, level, LogLine.begin(event)) : DISABLED;
    }

    /** Adds a field; null, a boolean and a finite number are written as such, everything else as a JSON string. */
    public LogEventBuilder with(String field, Object value) {
        if (line != null) {
            LogLine.appendField(line, field, value);
        }
        return this;
    }

    /** Adds what failed as {@code why}, and where as {@code at}. */
    public LogEventBuilder withFailure(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return with("why", failure).with("at", trace.length > 0 ? trace[0] : "");
    }

    /** Writes the line. */
    public void log() {
        if (line != null) {
            logger.log(level, line);
        }
    }
}
