package brambletray.platform.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.LogRecord;

/** Receives the log lines of all processes of one scenario; keeps those that report a fault of the program. */
final class LogTap implements AutoCloseable {
    private static final int FAULTS_MOST = 20;

    private final SimulatedCluster cluster;
    private final Consumer<String> lines;
    private final List<String> faults = new ArrayList<>();

    /** Taps the log of this thread until it is closed; {@code lines} takes all lines, or is null. */
    LogTap(SimulatedCluster cluster, Consumer<String> lines) {
        this.cluster = cluster;
        this.lines = lines;
        LogRouter.open(this);
    }

    /** Whether lines below warnings are wanted. */
    boolean wantsAll() {
        return lines != null;
    }

    /** Adds a line of the scenario itself. */
    void note(String text) {
        if (lines != null) {
            lines.accept(cluster.now() + " ---- " + text);
        }
    }

    List<String> faults() {
        return faults;
    }

    void publish(LogRecord entry) {
        String message = String.valueOf(entry.getMessage());
        if (tellsOfFault(entry, message) && faults.size() < FAULTS_MOST) {
            faults.add(cluster.now() + " " + cluster.running() + " " + message
                    + (entry.getThrown() == null ? "" : " " + entry.getThrown()));
        }
        if (lines != null) {
            lines.accept(cluster.now() + " " + cluster.running() + " " + entry.getLoggerName() + " " + message);
        }
    }

    private static boolean tellsOfFault(LogRecord entry, String message) {
        boolean ours = message.startsWith("\"event\"");
        return message.contains("tick-failed")
                || message.contains("handler-failed")
                || message.contains("link-failed")
                || !ours && entry.getLevel().intValue() >= java.util.logging.Level.WARNING.intValue();
    }

    @Override
    public void close() {
        LogRouter.close(this);
    }
}
