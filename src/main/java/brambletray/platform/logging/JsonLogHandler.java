package brambletray.platform.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.logging.ErrorManager;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Prints each record as one JSON object on one line, at most {@value #MAX_LINES_PER_EVENT} of one event in {@value
 * #RATE_WINDOW_MS} ms.
 */
final class JsonLogHandler extends Handler {
    /**
     * Lines of one event in a span; the rest are counted into one line, which comes with the first line after the span.
     */
    static final int MAX_LINES_PER_EVENT = 20;
    /** ms. */
    static final int RATE_WINDOW_MS = 1_000;
    /** Events that are distinguished; those beyond them share one count. */
    static final int MAX_EVENTS = 256;

    /** Held for each complete line: the loop, the disk writer and the system's threads all log. */
    private final ReentrantLock lock;

    private final OutputStream out;
    private final LongSupplier now;
    private final String tail;
    private final StringBuilder line = new StringBuilder(256);
    private final Map<String, EventRateLimit> rateLimits = new HashMap<>();
    private final List<EventRateLimit> limitsWithSkippedLines = new ArrayList<>();

    private static final class EventRateLimit {
        final String event;
        String plane;
        long windowStartMs;
        int linesInWindow;
        int skipped;

        EventRateLimit(String event, long since) {
            this.event = event;
            this.windowStartMs = since;
        }
    }

    /** {@code now}: ms since the process began. */
    JsonLogHandler(OutputStream out, LongSupplier now, String node) {
        this(out, now, node, new ReentrantLock());
    }

    JsonLogHandler(OutputStream out, LongSupplier now, String node, ReentrantLock lock) {
        this.lock = lock;
        this.out = out;
        this.now = now;
        StringBuilder quoted = new StringBuilder(",\"node\":");
        LogLine.quote(quoted, node);
        tail = quoted.append(',').toString();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        lock.lock();
        try {
            write(entry);
        } finally {
            lock.unlock();
        }
    }

    private void write(LogRecord entry) {
        long t = now.getAsLong();
        String message = String.valueOf(entry.getMessage());
        boolean ours = message.startsWith(LogLine.LINE_START);
        EventRateLimit rateLimit = rateLimitOf(ours ? LogLine.event(message) : "foreign", t);
        writeSkippedCounts(t);
        if (t - rateLimit.windowStartMs >= RATE_WINDOW_MS) {
            rateLimit.windowStartMs = t;
            rateLimit.linesInWindow = 0;
        }
        if (++rateLimit.linesInWindow > MAX_LINES_PER_EVENT) {
            if (rateLimit.skipped++ == 0) {
                rateLimit.plane = entry.getLoggerName();
                limitsWithSkippedLines.add(rateLimit);
            }
            return;
        }
        writeHead(t, entry.getLevel(), entry.getLoggerName());
        if (ours) {
            line.append(message);
        } else {
            LogLine.appendEvent(line, "foreign");
            LogLine.appendField(line, "text", message);
        }
        if (entry.getThrown() != null) {
            writeThrown(entry.getThrown());
        }
        write();
    }

    private EventRateLimit rateLimitOf(String event, long t) {
        EventRateLimit rateLimit = rateLimits.get(event);
        if (rateLimit == null) {
            String name = rateLimits.size() < MAX_EVENTS ? event : "others";
            rateLimit = rateLimits.computeIfAbsent(name, e -> new EventRateLimit(e, t));
        }
        return rateLimit;
    }

    /** One line for each event of which lines were left out, once its span is over. */
    private void writeSkippedCounts(long t) {
        for (int i = limitsWithSkippedLines.size() - 1; i >= 0; i--) {
            EventRateLimit rateLimit = limitsWithSkippedLines.get(i);
            if (t - rateLimit.windowStartMs >= RATE_WINDOW_MS) {
                limitsWithSkippedLines.remove(i);
                writeHead(t, Level.WARNING, rateLimit.plane);
                // the event stands as it came from a line, quoted already
                line.append(LogLine.LINE_START)
                        .append(rateLimit.event)
                        .append("\",\"skipped\":")
                        .append(rateLimit.skipped);
                rateLimit.skipped = 0;
                write();
            }
        }
    }

    private void writeHead(long t, Level level, String plane) {
        int rank = level.intValue();
        line.setLength(0);
        line.append("{\"t\":")
                .append(t)
                .append(",\"level\":\"")
                .append(rank >= 1_000 ? "error" : rank >= 900 ? "warn" : rank >= 800 ? "info" : "debug")
                .append("\",\"plane\":");
        LogLine.quote(line, String.valueOf(plane));
        line.append(tail);
    }

    private void writeThrown(Throwable thrown) {
        line.append(",\"thrown\":");
        LogLine.quote(line, thrown.toString());
        StackTraceElement[] trace = thrown.getStackTrace();
        if (trace.length > 0) {
            line.append(",\"at\":");
            LogLine.quote(line, trace[0].toString());
        }
    }

    private void write() {
        byte[] bytes = line.append("}\n").toString().getBytes(StandardCharsets.UTF_8);
        try {
            out.write(bytes, 0, bytes.length);
        } catch (IOException e) {
            reportError(null, e, ErrorManager.WRITE_FAILURE);
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
