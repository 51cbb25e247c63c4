package brambletray.relay.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of this build: {@code serve --config FILE}; its lines are read as they come. */
final class RelayProcess implements AutoCloseable {
    /** s; far beyond what a machine with other work needs. */
    static final int PATIENCE_S = 60;

    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private final Process process;
    private final List<String> lines = new ArrayList<>();
    private boolean over;

    RelayProcess(Path config, String... options) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx48m",
                "-cp",
                System.getProperty("java.class.path"),
                "brambletray.Main",
                "serve",
                "--config",
                config.toString()));
        command.addAll(1, List.of(options));
        process = new ProcessBuilder(command).redirectErrorStream(true).start();
        Thread reader = new Thread(this::read, "lines of " + config);
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                add(line);
            }
        } catch (IOException e) {
            add(e.toString());
        }
        synchronized (lines) {
            over = true;
            lines.notifyAll();
        }
    }

    private void add(String line) {
        synchronized (lines) {
            lines.add(line);
            lines.notifyAll();
        }
    }

    /** Waits for a line; its first group, or the whole match. */
    String await(String pattern) throws InterruptedException {
        Pattern wanted = Pattern.compile(pattern);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        synchronized (lines) {
            for (int at = 0; ; at++) {
                while (at == lines.size() && !over && System.nanoTime() < end) {
                    lines.wait(1_000);
                }
                if (at == lines.size()) {
                    throw new AssertionError("no line '" + pattern + "' in:\n" + String.join("\n", lines));
                }
                Matcher found = wanted.matcher(lines.get(at));
                if (found.find()) {
                    return found.groupCount() > 0 ? found.group(1) : found.group();
                }
            }
        }
    }

    /** True where it has said such a thing so far. */
    boolean said(String part) {
        synchronized (lines) {
            return lines.stream().anyMatch(l -> l.contains(part));
        }
    }

    private int port() throws InterruptedException {
        return Integer.parseInt(await("serving on /127\\.0\\.0\\.1:(\\d+)"));
    }

    /** The port where siblings' notes come in. */
    int siblingsPort() throws InterruptedException {
        return Integer.parseInt(await("siblings on /127\\.0\\.0\\.1:(\\d+)"));
    }

    HttpResponse<String> post(String id, String messageClass, int destination) throws Exception {
        return HTTP.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + "/" + messageClass))
                        .header("X-Request-ID", id)
                        .header("X-Priority-Class", messageClass)
                        .header("X-Timeout-Ms", "60000")
                        .header("X-Envelope", "dest=" + destination)
                        .header("Idempotency-Key", "key-" + id)
                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** How a message stands. */
    String answer(String id) throws Exception {
        return HTTP.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + "/v1/messages/" + id))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .body();
    }

    /** Waits until a message has ended in such a way. */
    void awaitAnswer(String id, String outcome) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        String last = answer(id);
        while (!Pattern.compile("\"" + outcome + "\"").matcher(last).find()) {
            if (System.nanoTime() > end || !last.contains("pending")) {
                throw new AssertionError(id + " is not " + outcome + " but " + last + "\n" + lines);
            }
            last = answer(id);
        }
    }

    /** A signal by name, to this process alone. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** SIGKILL; returns when it is gone. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Waits until it has ended by itself; its exit code. */
    int exit() throws InterruptedException {
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new AssertionError("it goes on:\n" + String.join("\n", lines));
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        try {
            kill();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- Folders ----------------------------------------------------------------------------------
    static void copy(Path from, Path to) throws IOException {
        empty(to);
        Files.createDirectories(to);
        try (var files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName().toString()));
            }
        }
    }

    static void empty(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        Files.walkFileTree(folder, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes a) throws IOException {
                Files.delete(file);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path dir, IOException e) throws IOException {
                if (!dir.equals(folder)) {
                    Files.delete(dir);
                }
                return FileVisitResult.CONTINUE;
            }
        });
    }
}
