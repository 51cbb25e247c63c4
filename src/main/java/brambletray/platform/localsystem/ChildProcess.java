package brambletray.platform.localsystem;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One process of the system: started with a settings file of its own, started again after a short delay when it has
 * ended, ended by its own handle and never by name.
 */
final class ChildProcess {
    /** ms from a process's end until it is started again. */
    static final int DELAY = 500;
    /** Starts of one process, after which it stays down. */
    private static final int STARTS = 50;

    private static final List<String> MACHINE = List.of(
            "-Xms48m",
            "-Xmx160m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData",
            "-XX:MaxDirectMemorySize=64m",
            "--add-opens",
            "java.base/sun.nio.ch=ALL-UNNAMED");

    private final LocalSite site;
    private final LocalSite.ProcessSpec spec;
    private final Consumer<String> report;
    private Process process;
    private int starts;
    private boolean ending;

    /** {@code report}: receives a line about the process's end. */
    ChildProcess(LocalSite site, LocalSite.ProcessSpec spec, Consumer<String> report) {
        this.site = site;
        this.spec = spec;
        this.report = report;
    }

    LocalSite.ProcessSpec spec() {
        return spec;
    }

    /** What the process says. */
    Path log() {
        return site.folder(spec).resolve("log");
    }

    synchronized void start() {
        if (ending || starts >= STARTS) {
            return;
        }
        try {
            Path folder = Files.createDirectories(site.folder(spec));
            if (spec.core()) {
                Files.createDirectories(folder.resolve("disk"));
            }
            Path settings = Files.writeString(folder.resolve("node.conf"), site.settings(spec, starts == 0));
            ProcessBuilder builder = new ProcessBuilder(command())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
            builder.environment()
                    .put(
                            brambletray.platform.settings.NodeSettings.FILE_VARIABLE,
                            settings.toAbsolutePath().toString());
            process = builder.start();
            starts++;
            Process mine = process;
            mine.onExit()
                    .thenRun(() -> ended(mine))
                    .thenRunAsync(this::start, CompletableFuture.delayedExecutor(DELAY, TimeUnit.MILLISECONDS));
        } catch (IOException e) {
            throw new LocalSystemException("no-process", spec.name() + " cannot be started: " + e.getMessage(), e);
        }
    }

    private List<String> command() {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + File.separator + "bin" + File.separator + "java");
        command.addAll(MACHINE);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "brambletray.Main", spec.program()));
        return command;
    }

    private synchronized void ended(Process which) {
        if (!ending) {
            report.accept(spec.name() + " ended with " + which.exitValue() + ", starts again in " + DELAY + " ms");
        }
    }

    /** Ends it as a loss would: at once. It is started again. */
    synchronized void kill() {
        process.destroyForcibly();
    }

    /** Tells it to end; it isn't started again. */
    synchronized void end() {
        ending = true;
        if (process != null) {
            process.destroy();
        }
    }

    /** Waits so long at most for its end, and ends it at once then. */
    void await(long ms) {
        Process last;
        synchronized (this) {
            ending = true;
            last = process;
        }
        try {
            if (last != null && !last.waitFor(ms, TimeUnit.MILLISECONDS)) {
                last.destroyForcibly().waitFor(1, TimeUnit.SECONDS);
            }
        } catch (InterruptedException e) {
            last.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    synchronized int starts() {
        return starts;
    }
}
