import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, line by line with the time since the start in seconds. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startNs) / 1e9;
    }

    synchronized void line(String text) {
        out.printf("%9.3f %s%n", seconds(), text);
        out.flush();
    }

    /** A line that is also printed. */
    void say(String text) {
        line(text);
        System.out.printf("%9.3f %s%n", seconds(), text);
    }

    @Override
    public void close() {
        out.close();
    }
}
