package brambletray.relay.serve;

import static brambletray.relay.stub.PlatformStub.host;
import static brambletray.relay.stub.PlatformStub.list;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A configuration that is replaced under a running relay. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class ReloadTest {
    @TempDir
    Path folder;

    @TempDir
    Path otherFolder;

    private PlatformStub old;
    private PlatformStub next;

    @BeforeEach
    void begin() throws Exception {
        old = new PlatformStub(folder);
        next = new PlatformStub(otherFolder);
    }

    @AfterEach
    void end() {
        old.close();
        next.close();
    }

    /** Guards against a watch that hangs on at the old address, and against versions that mean nothing at the new. */
    @Test
    void theWatchGoesToTheNewAddressAtOnceAndAsksForTheWholeList() throws Exception {
        try (HostStub host = new HostStub();
                RelayProcess relay = old.relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals("/v1/servers?after=1&wait_ms=20000", old.watch());
            relay.reload(old.configure(next));
            assertEquals("/v1/servers", next.watch());
            // Late news of the old agent, lower in version than the new one's.
            old.changes.add(list(90, true));
            next.changes.add(list(3, true, host("s-2", host.port(), 8, "ready")));
            assertEquals("/v1/servers?after=3&wait_ms=20000", next.watch());
            assertEquals(
                    "HTTP/1.1 202 Accepted", client.post("a", "bill", 8, 16_000).get(0));
            assertEquals("a", host.call().header("X-Request-ID"));
        }
    }

    /** Guards against a notice lost with the old address: it is owed until one of them has acknowledged it. */
    @Test
    void aNoticeThatTheOldAddressDidNotAcknowledgeGoesToTheNewOne() throws Exception {
        for (int i = 0; i < 10_000; i++) {
            old.noticeStatuses.add(503);
        }
        try (HostStub host = new HostStub();
                RelayProcess relay = old.relay(host("s-1", host.port(), 7, "ready"));
                var client = new PlatformStub.Client(relay)) {
            client.post("a", "bill", 7, 300);
            assertNotNull(old.notice());
            relay.reload(old.configure(next));
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", next.notice());
        }
    }

    /** Guards the relay against a file that cannot be used: what it had goes on. */
    @Test
    void anUnusableFileChangesNothing() throws Exception {
        try (RelayProcess relay = old.relay()) {
            assertNotNull(old.watch());
            Map<String, String> env = old.configure(next);
            String good = Files.readString(Path.of(env.get("EDGE_CONFIG")));
            for (String bad : new String[] {"", "{", "[]", good.replace("127.0.0.1:", "localhost:")}) {
                Files.writeString(Path.of(env.get("EDGE_CONFIG")), bad);
                relay.reload(env);
            }
            old.changes.add(list(2, false));
            assertEquals("/v1/servers?after=2&wait_ms=20000", old.watch());
            assertTrue(next.watches.isEmpty());
        }
    }

    /** Guards the process: SIGHUP ends a Java program that has no handler for it. */
    @Test
    void aHangupIsNotTheEndOfTheProcess() throws Exception {
        Map<String, String> env = old.configure(old);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "brambletray.Main",
                "serve");
        builder.environment().putAll(env);
        Process relay = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            assertNotNull(old.watch());
            for (PlatformStub to : new PlatformStub[] {next, old, next}) {
                old.configure(to);
                new ProcessBuilder("kill", "-HUP", Long.toString(relay.pid()))
                        .start()
                        .waitFor();
                assertEquals("/v1/servers", to.watch());
            }
            assertTrue(relay.isAlive());
        } finally {
            relay.destroyForcibly().waitFor();
        }
    }
}
