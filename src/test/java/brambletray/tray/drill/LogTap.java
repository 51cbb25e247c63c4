package brambletray.tray.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Takes the log lines of all processes while a course plays; keeps those that tell of a fault in the program. */
final class LogTap extends Handler implements AutoCloseable {
    private static final Logger ROOT = Logger.getLogger("");

    private final World world;
    private final Consumer<String> lines;
    private final List<String> faults = new ArrayList<>();
    private final Level before = ROOT.getLevel();
    private final Handler[] others = ROOT.getHandlers();

    LogTap(World world, Consumer<String> lines) {
        this.world = world;
        this.lines = lines;
        for (Handler other : others) {
            ROOT.removeHandler(other);
        }
        ROOT.setLevel(lines == null ? Level.WARNING : Level.INFO);
        ROOT.addHandler(this);
    }

    /** A line of the course's own. */
    static void note(World world, String text) {
        for (Handler handler : ROOT.getHandlers()) {
            if (handler instanceof LogTap tap && tap.world == world && tap.lines != null) {
                tap.lines.accept(world.now() + " ---- " + text);
            }
        }
    }

    List<String> faults() {
        return faults;
    }

    @Override
    public void publish(LogRecord entry) {
        String message = String.valueOf(entry.getMessage());
        if (message.contains("tick failed")
                || message.contains("handler-failed")
                || message.contains("link-failed")
                || !message.startsWith("\"event\"") && entry.getLevel().intValue() >= Level.WARNING.intValue()) {
            if (faults.size() < 20) {
                faults.add(world.now() + " " + world.running() + " " + message
                        + (entry.getThrown() == null ? "" : " " + entry.getThrown()));
            }
        }
        if (lines != null) {
            lines.accept(world.now() + " " + world.running() + " " + entry.getLoggerName() + " " + message);
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {
        ROOT.removeHandler(this);
        for (Handler other : others) {
            ROOT.addHandler(other);
        }
        ROOT.setLevel(before);
    }
}
