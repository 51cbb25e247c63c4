package brambletray.platform.logging;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.util.function.LongSupplier;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Where log lines go: standard error, one JSON object a line. */
public final class LogOutput {
    private LogOutput() {}

    /**
     * Sends lines of this level and above to standard error, in the name of {@code node}; once, before all else.
     *
     * @param sinceStart ms since the process began, from the one clock
     */
    public static void install(String node, Level level, LongSupplier sinceStart) {
        install(node, level, sinceStart, new FileOutputStream(FileDescriptor.err));
    }

    static void install(String node, Level level, LongSupplier sinceStart, OutputStream out) {
        selectProvider();
        Logger root = Logger.getLogger("");
        for (Handler former : root.getHandlers()) {
            root.removeHandler(former);
        }
        Handler handler = new JsonLogHandler(out, sinceStart, node);
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
        root.setLevel(level);
    }

    /**
     * JBoss Logging over java.util.logging, which reads no file: looking for other back-ends and parsing the usual file
     * cost time at each start.
     */
    static void selectProvider() {
        System.setProperty("org.jboss.logging.provider", "jdk");
        if (System.getProperty("java.util.logging.config.class") == null
                && System.getProperty("java.util.logging.config.file") == null) {
            System.setProperty("java.util.logging.config.class", EmptyLoggingConfiguration.class.getName());
        }
    }

    /** What java.util.logging makes instead of reading its file: nothing is set. */
    public static final class EmptyLoggingConfiguration {}
}
