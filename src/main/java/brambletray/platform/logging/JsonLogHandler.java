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

/** Prints each record as one JSON object on one line, at most {@value #MOST} of one event in {@value #SPAN} ms. */
final class JsonLogHandler extends Handler {
    /**
     * Lines of one event in a span; the rest are counted into one line, which comes with the first line after the span.
     */
    static final int MOST = 20;
    /** ms. */
    static final int SPAN = 1_000;
    /** Events that are told apart; those beyond them share one count. */
    static final int EVENTS = 256;

    /** Held for each line as a whole: the loop, the disk writer and the system's threads all log. */
    private final ReentrantLock lock;

    private final OutputStream out;
    private final LongSupplier now;
    private final String tail;
    private final StringBuilder line = new StringBuilder(256);
    private final Map<String, Pace> paces = new HashMap<>();
    private final List<Pace> owing = new ArrayList<>();

    private static final class Pace {
        final String event;
        String plane;
        long since;
        int told;
        int skipped;

        Pace(String event, long since) {
            this.event = event;
            this.since = since;
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
        boolean ours = message.startsWith(LogLine.START);
        Pace pace = pace(ours ? LogLine.event(message) : "foreign", t);
        owed(t);
        if (t - pace.since >= SPAN) {
            pace.since = t;
            pace.told = 0;
        }
        if (++pace.told > MOST) {
            if (pace.skipped++ == 0) {
                pace.plane = entry.getLoggerName();
                owing.add(pace);
            }
            return;
        }
        head(t, entry.getLevel(), entry.getLoggerName());
        if (ours) {
            line.append(message);
        } else {
            LogLine.appendEvent(line, "foreign");
            LogLine.appendField(line, "text", message);
        }
        if (entry.getThrown() != null) {
            thrown(entry.getThrown());
        }
        write();
    }

    private Pace pace(String event, long t) {
        Pace pace = paces.get(event);
        if (pace == null) {
            String name = paces.size() < EVENTS ? event : "others";
            pace = paces.computeIfAbsent(name, e -> new Pace(e, t));
        }
        return pace;
    }

    /** One line for each event of which lines were left out, once its span is over. */
    private void owed(long t) {
        for (int i = owing.size() - 1; i >= 0; i--) {
            Pace pace = owing.get(i);
            if (t - pace.since >= SPAN) {
                owing.remove(i);
                head(t, Level.WARNING, pace.plane);
                // the event stands as it came from a line, quoted already
                line.append(LogLine.START)
                        .append(pace.event)
                        .append("\",\"skipped\":")
                        .append(pace.skipped);
                pace.skipped = 0;
                write();
            }
        }
    }

    private void head(long t, Level level, String plane) {
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

    private void thrown(Throwable thrown) {
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
