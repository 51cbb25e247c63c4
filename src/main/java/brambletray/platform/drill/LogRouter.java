package brambletray.platform.drill;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Hands each log record to the course that plays on the thread it comes from. Stands in for the root logger's handlers
 * while any course
 * plays; they are put back after the last one.
 */
final class LogRouter extends Handler {
    private static final Logger ROOT = Logger.getLogger("");
    private static final ThreadLocal<LogTap> TAP = new ThreadLocal<>();
    private static LogRouter router;

    private final Level levelBefore = ROOT.getLevel();
    private final Handler[] handlersBefore = ROOT.getHandlers();
    private int courses;

    private LogRouter() {}

    /** From now on, records of this thread go to this tap. */
    static synchronized void open(LogTap tap) {
        if (router == null) {
            router = new LogRouter();
            for (Handler handler : router.handlersBefore) {
                ROOT.removeHandler(handler);
            }
            ROOT.addHandler(router);
            ROOT.setLevel(Level.WARNING);
        }
        router.courses++;
        if (tap.wantsAll()) {
            ROOT.setLevel(Level.INFO);
        }
        TAP.set(tap);
    }

    static synchronized void close(LogTap tap) {
        if (TAP.get() != tap) {
            return;
        }
        TAP.remove();
        router.courses--;
        if (router.courses == 0) {
            ROOT.removeHandler(router);
            for (Handler handler : router.handlersBefore) {
                ROOT.addHandler(handler);
            }
            ROOT.setLevel(router.levelBefore);
            router = null;
        }
    }

    @Override
    public void publish(LogRecord entry) {
        LogTap tap = TAP.get();
        if (tap != null) {
            tap.publish(entry);
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
