package brambletray.platform.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals to real processes of both programs. No pauses: each step waits for a line of the process's log. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SignalledProcessTest {
    private static final int LONGEST_S = 60;

    @TempDir
    Path dir;

    private Process process;
    private BufferedReader log;

    private static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** {@code dataDir}: null for a machine without a disk. */
    private void start(String program, Path dataDir) throws IOException {
        int inner = free();
        String settings = String.join(
                "\n",
                "node-name=node-1",
                "ip-address=127.0.0.1",
                "zone=north",
                "region=r",
                "zones.north=r",
                "bind-addresses.control-plane=127.0.0.1:" + free(),
                "bind-addresses.front-end=127.0.0.1:" + free(),
                "bind-addresses.readiness=127.0.0.1:" + free(),
                "internal-port-range=" + inner + "," + inner,
                "seed-peers=127.0.0.1:" + free(),
                "initial-start=false",
                "bounds.grace-s=2",
                "cloud-api.address=127.0.0.1:" + free(),
                dataDir == null ? "" : "data-dir=" + dataDir,
                "");
        Path file = Files.writeString(dir.resolve("node.conf"), settings);
        // a build that runs under nohup ignores SIGHUP, and so would its children, whatever they handle
        ProcessBuilder builder = new ProcessBuilder(
                "env",
                "--default-signal=HUP,TERM",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "--add-opens",
                "java.base/sun.nio.ch=ALL-UNNAMED",
                "-cp",
                System.getProperty("java.class.path"),
                "brambletray.Main",
                program);
        builder.environment().put("BRAMBLETRAY_NODE_FILE", file.toString());
        process = builder.redirectErrorStream(true).start();
        log = process.inputReader(StandardCharsets.UTF_8);
    }

    @AfterEach
    void end() {
        process.destroyForcibly();
    }

    private void awaitLine(String part) throws IOException {
        StringBuilder all = new StringBuilder();
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            all.append(line).append('\n');
            if (line.contains(part)) {
                return;
            }
        }
        assertNotNull(null, "no line with '" + part + "' in\n" + all);
    }

    private void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertTrue(kill.waitFor(LONGEST_S, TimeUnit.SECONDS));
        assertEquals(0, kill.exitValue());
    }

    private int exitCode() throws InterruptedException {
        assertTrue(process.waitFor(LONGEST_S, TimeUnit.SECONDS), "still there");
        return process.exitValue();
    }

    /**
     * A SIGHUP reads the settings again; with a file that can't be used the process goes on by the old ones; SIGTERM,
     * twice, ends it with 0.
     */
    private void hangUpsThenTerminations() throws IOException, InterruptedException {
        awaitLine("\"event\":\"started\"");
        signal("HUP");
        awaitLine("\"event\":\"settings-reloaded\"");
        Files.writeString(dir.resolve("node.conf"), "zone=\n");
        signal("HUP");
        awaitLine("\"event\":\"settings-rejected\"");
        assertTrue(process.isAlive());
        signal("TERM");
        signal("TERM");
        assertEquals(0, exitCode());
    }

    @Test
    void theControlPlaneBearsHangUpsAndEndsWithZero() throws IOException, InterruptedException {
        start("controlplane", dir.resolve("data"));
        hangUpsThenTerminations();
    }

    @Test
    void theEdgeBearsHangUpsAndEndsWithZero() throws IOException, InterruptedException {
        start("edge", null);
        hangUpsThenTerminations();
    }

    /** Its disk can't be opened, so it waits for it; it was ended by the virtual machine with 143. */
    @Test
    void aProcessThatWaitsForItsDiskBearsAHangUpAndEndsWithZero() throws IOException, InterruptedException {
        start("controlplane", Files.writeString(dir.resolve("no-folder"), "x"));
        awaitLine("\"event\":\"disk-open-failed\"");
        signal("HUP");
        awaitLine("\"event\":\"disk-open-failed\"");
        signal("TERM");
        assertEquals(0, exitCode());
    }
}
