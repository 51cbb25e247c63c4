package brambletray.relay.serve;

import static brambletray.relay.stub.PlatformStub.host;
import static brambletray.relay.stub.PlatformStub.list;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One process takes another's place, over loopback: both in this one, on one folder and one address. */
@Timeout(value = 20, unit = TimeUnit.SECONDS)
class HandoverTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted";

    @TempDir
    Path folder;

    private PlatformStub platform;
    private HostStub host;

    @BeforeEach
    void begin() throws IOException {
        platform = new PlatformStub(folder);
        platform.more = "\"console\":\"127.0.0.1:0\",";
        platform.openCap = 100;
        host = new HostStub();
    }

    @AfterEach
    void end() throws IOException {
        host.close();
        platform.close();
    }

    private Map<String, String> configured() throws IOException {
        return platform.configure(platform, host("s-1", host.port(), 7, "ready"));
    }

    private RelayProcess first() throws Exception {
        return new RelayProcess(Config.read(configured()));
    }

    /** A process that is to take the place of another. */
    private RelayProcess second(RelayProcess first) throws Exception {
        Map<String, String> env = new HashMap<>(configured());
        env.put("EDGE_LISTEN", "127.0.0.1:" + first.address().getPort());
        return new RelayProcess(Config.read(env));
    }

    private static Thread leaving(RelayProcess node) {
        Thread thread = new Thread(node::leave);
        thread.start();
        return thread;
    }

    private static void awaitIdle(RelayProcess relay) throws Exception {
        while (!relay.idle()) {
            Thread.onSpinWait();
        }
    }

    private static void awaitOwner(RelayProcess relay) throws Exception {
        while (!relay.owns()) {
            Thread.onSpinWait();
        }
    }

    /** A client of one process among two that share an address: the system deals connections out. */
    private static PlatformStub.Client clientOf(RelayProcess node) throws Exception {
        while (true) {
            int before = node.clients();
            PlatformStub.Client client = new PlatformStub.Client(node);
            client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]);
            if (node.clients() > before) {
                return client;
            }
            client.close();
        }
    }

    /** What is out stays with the process that sent it, and ends where the message has gone. */
    @Test
    void aMessageThatIsOutIsHandedOnAndNotSentTwice() throws Exception {
        try (RelayProcess one = first();
                var client = new PlatformStub.Client(one)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            HostStub.Call out = host.call();
            assertEquals(TAKEN, client.post("unsafe", "pay", 7, 16_000).get(0));
            try (RelayProcess two = second(one)) {
                assertFalse(two.owns());
                Thread end = leaving(one);
                awaitOwner(two);
                out.answer(HostStub.OK);
                HostStub.Call next = host.call();
                assertEquals("unsafe", next.header("X-Request-ID"));
                next.answer(HostStub.OK);
                awaitIdle(two);
                end.join();
                assertTrue(host.quiet());
                assertEquals(0, platform.notices.size());
            }
        }
    }

    /** Both serve: what is handed in at the one that does not own goes through the other, either way round. */
    @Test
    void clientsOfBothAreServedThroughTheOneThatOwns() throws Exception {
        try (RelayProcess one = first();
                RelayProcess two = second(one)) {
            try (var there = clientOf(two);
                    var here = clientOf(one)) {
                assertEquals(TAKEN, there.post("a", "bill", 7, 16_000).get(0));
                host.call().answer(HostStub.OK);
                awaitIdle(one);
                assertTrue(there.post("a2", "nothing", 7, 16_000).get(0).startsWith("HTTP/1.1 404"));
                Thread end = leaving(one);
                awaitOwner(two);
                List<String> last = here.post("b", "bill", 7, 16_000);
                assertEquals(TAKEN, last.get(0));
                assertTrue(last.stream().anyMatch(l -> l.equalsIgnoreCase("connection: close")), last.toString());
                assertTrue(here.closed());
                assertEquals(TAKEN, there.post("c", "bill", 7, 16_000).get(0));
                for (int i = 0; i < 2; i++) {
                    host.call().answer(HostStub.OK);
                }
                awaitIdle(two);
                end.join();
            }
        }
    }

    /** A host out by hand, and one that told a wait, get nothing from the one that follows either. */
    @Test
    void bansAndWaitsOutlastTheProcess() throws Exception {
        try (HostStub other = new HostStub()) {
            String[] hosts = {host("s-1", host.port(), 7, "ready"), host("s-2", other.port(), 8, "ready")};
            RelayProcess one = new RelayProcess(Config.read(platform.configure(platform, hosts)));
            try (var client = new PlatformStub.Client(one)) {
                assertEquals(TAKEN, client.post("told", "bill", 7, 16_000).get(0));
                host.call().answer("HTTP/1.1 429 x\r\nRetry-After: 2.2\r\nContent-Length: 0\r\n\r\n");
                long since = System.nanoTime();
                assertTrue(ConsoleTest.call(one, "POST /maintenance/enter/s-2").startsWith("HTTP/1.1 200"));
                assertEquals(TAKEN, client.post("banned", "bill", 8, 16_000).get(0));
                Map<String, String> env = new HashMap<>(platform.configure(platform, hosts));
                env.put("EDGE_LISTEN", "127.0.0.1:" + one.address().getPort());
                RelayProcess two = new RelayProcess(Config.read(env));
                // A call to the one that does not own is carried out by the one that does.
                assertTrue(ConsoleTest.call(two, "POST /maintenance/enter/s-9").startsWith("HTTP/1.1 404"));
                Thread end = leaving(one);
                awaitOwner(two);
                HostStub.Call again = host.call();
                assertEquals("told", again.header("X-Request-ID"));
                assertTrue(System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(2_200), "inside the wait");
                again.answer(HostStub.OK);
                assertTrue(other.quiet());
                assertTrue(ConsoleTest.call(two, "POST /maintenance/exit/s-2").startsWith("HTTP/1.1 200"));
                HostStub.Call back = other.call();
                assertEquals("banned", back.header("X-Request-ID"));
                back.answer(HostStub.OK);
                awaitIdle(two);
                end.join();
                two.close();
            }
        }
    }

    /** The new process is gone before it was asked to take over: nothing has been. */
    @Test
    void whereTheNewProcessDiesTheOldOneServesOn() throws Exception {
        try (RelayProcess one = first();
                var client = new PlatformStub.Client(one)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            HostStub.Call out = host.call();
            RelayProcess two = second(one);
            two.close();
            assertTrue(one.owns());
            out.answer(HostStub.OK);
            assertEquals(TAKEN, client.post("b", "bill", 7, 16_000).get(0));
            host.call().answer(HostStub.OK);
            awaitIdle(one);
            // And there is a place for another one.
            RelayProcess three = second(one);
            three.close();
        }
    }

    /** The old one is killed with no word: the one beside it takes up what the journal holds, once. */
    @Test
    void whereTheOldProcessDiesTheNewOneTakesUpItsJournal() throws Exception {
        RelayProcess one = first();
        try (RelayProcess two = second(one)) {
            try (var client = clientOf(one)) {
                assertEquals(TAKEN, client.post("out", "pay", 7, 16_000).get(0));
                host.call();
                one.close();
            }
            awaitOwner(two);
            // It may have run: it is not sent again, and its end is told.
            assertTrue(platform.notice().contains("given_up"));
            try (var client = new PlatformStub.Client(two)) {
                assertEquals(TAKEN, client.post("next", "bill", 7, 16_000).get(0));
                HostStub.Call next = host.call();
                assertEquals("next", next.header("X-Request-ID"));
                next.answer(HostStub.OK);
            }
            awaitIdle(two);
        }
    }

    @Test
    void twiceInARowAndNoThirdWhileTwoRun() throws Exception {
        RelayProcess one = first();
        RelayProcess two = second(one);
        ExecutionException fault = assertThrows(ExecutionException.class, () -> second(one));
        assertTrue(
                fault.getCause().getMessage().contains("already"),
                fault.getCause().getMessage());
        leaving(one).join();
        awaitOwner(two);
        RelayProcess three = second(two);
        leaving(two).join();
        awaitOwner(three);
        try (var client = new PlatformStub.Client(three)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            host.call().answer(HostStub.OK);
            awaitIdle(three);
        }
        three.close();
    }

    /** Other settings: the module's memory means nothing there, and the new one starts with care. */
    @Test
    void underOtherSettingsTheNewProcessStartsWithCare() throws Exception {
        RelayProcess one = first();
        try (var client = new PlatformStub.Client(one)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            host.call();
            platform.slots = 3;
            try (RelayProcess two = second(one)) {
                Thread end = leaving(one);
                awaitOwner(two);
                // Keyed, inside its window: sent again by the one that owns.
                HostStub.Call again = host.call();
                assertEquals("a", again.header("X-Request-ID"));
                again.answer(HostStub.OK);
                awaitIdle(two);
                end.join();
            }
        }
    }

    /** A drain is the relay's, whichever process was told. */
    @Test
    void aDrainOutlastsTheProcess() throws Exception {
        RelayProcess one = first();
        assertTrue(ConsoleTest.call(one, "POST /standby").startsWith("HTTP/1.1 200"));
        try (RelayProcess two = second(one)) {
            assertTrue(ConsoleTest.call(two, "GET /status").startsWith("HTTP/1.1 200"));
            leaving(one).join();
            awaitOwner(two);
            try (var client = new PlatformStub.Client(two)) {
                assertEquals(
                        "HTTP/1.1 503 Service Unavailable",
                        client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
            }
            assertTrue(ConsoleTest.call(two, "POST /active").startsWith("HTTP/1.1 200"));
            try (var client = new PlatformStub.Client(two)) {
                assertEquals(
                        "HTTP/1.1 200 OK",
                        client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
            }
        }
    }

    /** Discovery is followed by both: a host that drains while they change places gets nothing new. */
    @Test
    void whatTheListTellsWhileTwoRunBindsTheOneThatFollows() throws Exception {
        RelayProcess one = first();
        try (RelayProcess two = second(one)) {
            platform.watch();
            platform.watch();
            for (int i = 0; i < 2; i++) {
                platform.changes.add(list(2, false, host("s-1", host.port(), 7, "draining")));
            }
            platform.watch();
            platform.watch();
            leaving(one).join();
            awaitOwner(two);
            try (var client = new PlatformStub.Client(two)) {
                assertEquals(TAKEN, client.post("a", "bill", 7, 2_000).get(0));
                assertTrue(platform.notice().contains("\"a\""));
                assertTrue(host.quiet());
            }
        }
    }
}
