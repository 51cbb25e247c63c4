package brambletray.relay.cli;

import static brambletray.relay.stub.PlatformStub.host;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.serve.Config;
import brambletray.relay.serve.RelayProcess;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Operators' commands against a relay that runs. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class OperatorVerbsTest {
    @TempDir
    Path folder;

    private static String run(int code, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream to = new PrintStream(out, true, StandardCharsets.UTF_8);
        assertEquals(code, Verbs.run(args, to, to), () -> out.toString(StandardCharsets.UTF_8));
        return out.toString(StandardCharsets.UTF_8).strip();
    }

    @Test
    void eachCommandCallsTheRelayAndTellsItsAnswer() throws Exception {
        try (PlatformStub platform = new PlatformStub(folder);
                HostStub host = new HostStub()) {
            platform.more = "\"console\":\"127.0.0.1:0\",";
            try (RelayProcess relay =
                    new RelayProcess(Config.read(platform.configure(platform, host("s-1", host.port(), 7, "ready"))))) {
                String at = "127.0.0.1:" + relay.consoleAddress().getPort();
                assertEquals("ready", run(0, "status", "--console", at));
                assertTrue(run(0, "status", "--metrics", "--console", at).contains("svc.hosts_known:1|g"));
                assertEquals("s-1 is out", run(0, "maintenance", "enter", "s-1", "--console", at));
                assertTrue(
                        run(1, "maintenance", "exit", "s 9/", "--console", at).contains("name"));
                assertTrue(run(0, "maintenance", "exit", "s-1", "--console", at).startsWith("s-1 is in use"));
                run(0, "standby", "--console", at);
                assertEquals("ready, clients are sent away", run(0, "status", "--console", at));
                run(0, "active", "--console", at);
                assertEquals("ready", run(0, "status", "--console", at));
            }
        }
    }

    @Test
    void whereNobodyAnswersThatIsOneLineAndCode2() throws Exception {
        assertTrue(run(2, "status", "--console", "127.0.0.1:1").startsWith("no answer from 127.0.0.1:1"));
        assertTrue(run(2, "status", "--console", "no where").startsWith("--console: expected"));
        assertTrue(run(2, "maintenance").startsWith("expected enter or exit"));
    }
}
