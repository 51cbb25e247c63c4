package brambletray.relay.serve;

import static brambletray.relay.stub.PlatformStub.host;
import static brambletray.relay.stub.PlatformStub.list;
import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.journal.Journal;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import brambletray.relay.wire.Addresses;
import brambletray.relay.wire.Wire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The whole relay over loopback sockets: one test for each way in which it could go wrong. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class RelayProcessTest {
    private static final String TAKEN = "HTTP/1.1 202 Accepted";

    @TempDir
    Path folder;

    private PlatformStub platform;
    private HostStub host;

    @BeforeEach
    void begin() throws IOException {
        platform = new PlatformStub(folder);
        host = new HostStub();
    }

    @AfterEach
    void end() throws IOException {
        host.close();
        platform.close();
    }

    private RelayProcess relay() throws Exception {
        return platform.relay(host("s-1", host.port(), 7, "ready"));
    }

    private void awaitClosedJournal(RelayProcess relay) throws Exception {
        while (!relay.idle()) {
            Thread.sleep(5);
        }
    }

    @Test
    void aMessageGoesOnUnchangedOverAKeptConnection() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            HostStub.Call first = host.call();
            assertEquals("POST /v1/messages HTTP/1.1", first.head().get(0));
            assertEquals("a", first.header("X-Request-ID"));
            assertEquals("key-a", first.header("Idempotency-Key"));
            assertEquals("bill \u00e4\0 of a", first.body());
            assertTrue(Long.parseLong(first.header("X-Timeout-Ms")) > 0);
            first.answer(HostStub.OK);
            awaitClosedJournal(relay);
            assertEquals(TAKEN, client.post("b", "bill", 7, 16_000).get(0));
            // Guards against a handshake for each message.
            assertSame(first.socket(), host.call().socket());
        }
    }

    @Test
    void healthIsToldAndBadRequestsAreTurnedAwayAndNotWrittenDown() throws Exception {
        try (RelayProcess relay = relay()) {
            long before = Files.size(platform.journal());
            List<String> good = PlatformStub.Client.headers("x", "bill", 7, 900);
            try (var client = new PlatformStub.Client(relay)) {
                assertEquals(
                        "HTTP/1.1 200 OK",
                        client.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0])
                                .get(0));
                assertStatus(404, client.post("x", "wobble", 7, 900));
                assertStatus(404, client.post("x", "bill", 8, 900));
                assertStatus(404, client.post("/other", good, ""));
                assertStatus(400, client.post("x", "bill", 7, 0));
                assertStatus(400, client.post("x", "bill", 7, Long.MAX_VALUE));
                for (int left = 0; left < good.size(); left++) {
                    List<String> headers = new java.util.ArrayList<>(good);
                    if (!headers.remove(left).startsWith("X-Priority-Class")) {
                        assertStatus(400, client.post("/bill", headers, ""));
                    }
                }
                assertStatus(405, client.raw("GET /bill HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]));
            }
            try (var client = new PlatformStub.Client(relay)) {
                assertStatus(413, client.post("/bill", good, "x".repeat(64 * 1024 + 1)));
            }
            try (var client = new PlatformStub.Client(relay)) {
                assertStatus(400, client.raw("nonsense\r\n\r\n", new byte[0]));
            }
            assertEquals(before, Files.size(platform.journal()));
        }
    }

    private static void assertStatus(int status, List<String> head) {
        assertTrue(head.get(0).startsWith("HTTP/1.1 " + status), head.get(0));
    }

    /**
     * Guards hosts against trials and the return budget for what befalls connections: after two kept and three new
     * ones that broke, messages still go out side by side, where a host held to fail would get one trial.
     */
    @Test
    void connectionsThatBreakAreNotHeldAgainstTheirHost() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            host.call().answer(HostStub.OK);
            awaitClosedJournal(relay);
            List<HostStub.Call> kept = outSideBySide(client, "b", "c");
            for (HostStub.Call call : kept) {
                call.answer(HostStub.OK);
            }
            awaitClosedJournal(relay);
            List<HostStub.Call> calls = outSideBySide(client, "d", "e");
            for (int broken = 0; broken < 5; broken++) {
                calls.get(broken).reset();
                calls.add(host.call());
            }
            calls.get(5).answer(HostStub.OK);
            assertEquals(TAKEN, client.post("f", "bill", 7, 16_000).get(0));
            HostStub.Call sideBySide = host.call();
            assertNotNull(sideBySide, "one at a time only");
            assertEquals("f", sideBySide.header("X-Request-ID"));
            assertTrue(host.open(calls.get(6)), "one at a time only");
            sideBySide.answer(HostStub.OK);
            calls.get(6).answer(HostStub.OK);
            awaitClosedJournal(relay);
        }
    }

    /**
     * Guards hosts and windows against messages that take long: two that time out while a later one is answered are
     * sent again side by side, with longer to answer.
     */
    @Test
    void aMessageThatTimesOutIsNotHeldAgainstItsHost() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            for (String id : List.of("a", "b")) {
                assertEquals(TAKEN, client.post(id, "bill", 7, 16_000).get(0));
                host.call().answer(HostStub.OK);
                awaitClosedJournal(relay);
            }
            List<HostStub.Call> slow = outSideBySide(client, "c", "d");
            assertEquals(TAKEN, client.post("e", "bill", 7, 16_000).get(0));
            HostStub.Call later = host.call();
            assertEquals("e", later.header("X-Request-ID"));
            later.answer(HostStub.OK);
            HostStub.Call one = host.call();
            HostStub.Call other = host.call();
            assertNotEquals(one.header("X-Request-ID"), other.header("X-Request-ID"));
            assertTrue(host.open(one), "one at a time only");
            long first = Long.parseLong(slow.get(0).header("X-Timeout-Ms"));
            assertTrue(Long.parseLong(one.header("X-Timeout-Ms")) > first * 3 / 2, "no longer to answer");
            one.answer(HostStub.OK);
            other.answer(HostStub.OK);
            awaitClosedJournal(relay);
        }
    }

    /** Guards messages with little time from the start against waiting behind all that have more. */
    @Test
    void aMessageWithLittleTimeGoesBeforeThoseThatCanWait() throws Exception {
        // Of two that go out at once, on connections of their own, either may come first.
        platform.slots = 1;
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("first", "bill", 7, 16_000).get(0));
            HostStub.Call first = host.call();
            assertEquals(TAKEN, client.post("patient", "bill", 7, 16_000).get(0));
            assertEquals(TAKEN, client.post("brief", "bill", 7, 7_900).get(0));
            first.answer(HostStub.OK);
            HostStub.Call next = host.call();
            assertEquals("brief", next.header("X-Request-ID"));
            next.answer(HostStub.OK);
            host.call().answer(HostStub.OK);
            awaitClosedJournal(relay);
        }
    }

    /** Where a kind of host takes several messages a call, those that waited go together, and end one by one. */
    @Test
    void messagesThatWaitedShareACall() throws Exception {
        platform.bundle = 3;
        platform.slots = 1;
        platform.openCap = 10;
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("first", "bill", 7, 16_000).get(0));
            HostStub.Call first = host.call();
            assertEquals("first", first.header("X-Request-ID"));
            for (int i = 0; i < 4; i++) {
                assertEquals(TAKEN, client.post("m" + i, "bill", 7, 16_000).get(0));
            }
            first.answer(HostStub.OK);
            HostStub.Call batch = host.call();
            assertEquals("POST /v1/messages:batch HTTP/1.1", batch.head().get(0));
            String answer = "[{\"id\":\"m0\",\"state\":\"accepted\"},{\"id\":\"m1\",\"state\":\"deferred\"},"
                    + "{\"id\":\"m2\",\"state\":\"accepted\"}]";
            batch.answer("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
            HostStub.Call rest = host.call();
            assertTrue(rest.body().contains("\"m1\"") && rest.body().contains("\"m3\""), rest.body());
            rest.answer("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
            HostStub.Call again = host.call();
            assertTrue(again.body().contains("\"m1\"") && again.body().contains("\"m3\""), again.body());
            answer = "[{\"id\":\"m1\",\"state\":\"accepted\"},{\"id\":\"m3\",\"state\":\"accepted\"}]";
            again.answer("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer);
            awaitClosedJournal(relay);
        }
    }

    /**
     * Guards scarce slots against calls that are never answered: where messages that timed out are answered at once at
     * their next call, calls soon have less time.
     */
    @Test
    void callsHaveLessTimeWhileSlotsAreScarceAndCallsAreLost() throws Exception {
        platform.slots = 1;
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            long least = Long.MAX_VALUE;
            // The first eight make the usual time known; of the others each first call is lost.
            for (int i = 0; i < 20 && least >= 1_000; i++) {
                assertEquals(TAKEN, client.post("m" + i, "bill", 7, 16_000).get(0));
                HostStub.Call call = host.call();
                least = Math.min(least, Long.parseLong(call.header("X-Timeout-Ms")));
                (i < 8 || least < 1_000 ? call : host.call()).answer(HostStub.OK);
                awaitClosedJournal(relay);
            }
            assertTrue(least < 1_000, "all calls had " + least + " ms");
        }
    }

    /** Guards slots: a message refused for want of room in the journal, in the turn that sends it, costs none. */
    @Test
    void aMessageThatTheJournalCannotTakeCostsNoSlot() throws Exception {
        platform.openCap = 100;
        String body = "x".repeat(64 * 1024);
        try (RelayProcess relay =
                        platform.relay(host("s-1", host.port(), 7, "ready"), host("s-2", host.port(), 8, "ready"));
                var client = new PlatformStub.Client(relay)) {
            int held = 0;
            while (client.post("/bill", PlatformStub.Client.headers("a" + held, "bill", 7, 16_000), body)
                    .get(0)
                    .equals(TAKEN)) {
                held++;
            }
            HostStub.Call first = host.call();
            assertStatus(503, client.post("/bill", PlatformStub.Client.headers("b", "bill", 8, 16_000), body));
            first.answer(HostStub.OK);
            HostStub.Call second = host.call();
            // Which one is the module's: two that came in the same millisecond have the same aim.
            assertTrue(second.header("X-Request-ID").startsWith("a"));
            assertEquals(TAKEN, client.post("c", "bill", 8, 16_000).get(0));
            HostStub.Call next = host.call();
            while (next != null && !next.header("X-Request-ID").equals("c")) {
                next = host.call();
            }
            assertNotNull(next, "nothing goes to that destination any more");
        }
    }

    /** Hands two messages in and waits until both are out at once. */
    private List<HostStub.Call> outSideBySide(PlatformStub.Client client, String one, String other) throws Exception {
        assertEquals(TAKEN, client.post(one, "bill", 7, 16_000).get(0));
        assertEquals(TAKEN, client.post(other, "bill", 7, 16_000).get(0));
        return new ArrayList<>(List.of(host.call(), host.call()));
    }

    /** Guards the cap on messages held: the client is told to come back, not left waiting. */
    @Test
    void aboveTheOpenCapAMessageIsRefusedWithATimeToComeBack() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            // The module gives back one that it may when the cap is reached, so unsafe ones that are out hold it.
            int taken = 0;
            List<String> answer = client.post("m0", "pay", 7, 16_000);
            while (answer.get(0).equals(TAKEN) && taken < 20) {
                taken++;
                answer = client.post("m" + taken, "pay", 7, 16_000);
            }
            assertTrue(taken >= 3 && taken <= 4, taken + " were taken");
            assertStatus(503, answer);
        }
    }

    /** Guards against a lost end: the notice is posted until the platform acknowledges it. */
    @Test
    void aMessageThatIsGivenUpEndsByANoticeThatIsRepeatedUntilItIsAcknowledged() throws Exception {
        platform.noticeStatuses.add(500);
        platform.noticeStatuses.add(503);
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 300).get(0));
            assertNotNull(host.call());
            String notice = "{\"message\":\"a\",\"outcome\":\"given_up\"}";
            for (int i = 0; i < 3; i++) {
                assertEquals(notice, platform.notice());
            }
            awaitClosedJournal(relay);
        }
        try (Journal journal = new Journal(platform.journal().getParent(), 3_000_000, 12)) {
            assertTrue(journal.owed().isEmpty());
        }
    }

    /** Guards what is owed against a kill: keyed messages go out again, with the same id, key and body. */
    @Test
    void aKeyedMessageThatWasOutIsSentAgainAfterARestart() throws Exception {
        HostStub.Call before;
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            before = host.call();
        }
        try (RelayProcess relay = relay()) {
            HostStub.Call after = host.call();
            assertEquals("a", after.header("X-Request-ID"));
            assertEquals("key-a", after.header("Idempotency-Key"));
            assertEquals(before.body(), after.body());
            after.answer(HostStub.OK);
            awaitClosedJournal(relay);
        }
        assertTrue(platform.notices.isEmpty(), "delivered, so no notice");
    }

    /** Guards against double effects: an unsafe call that was out at the kill may have run. */
    @Test
    void anUnsafeMessageThatWasOutIsGivenUpAfterARestart() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 16_000).get(0));
            assertNotNull(host.call());
        }
        try (RelayProcess relay = relay()) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
            awaitClosedJournal(relay);
            assertTrue(host.quiet());
        }
    }

    /** An unsafe message whose only call was turned away never ran: it goes out after a restart, and the told wait. */
    @Test
    void anUnsafeMessageThatNeverRanIsSentAfterARestart() throws Exception {
        long told;
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "pay", 7, 60_000).get(0));
            long before = Files.size(platform.journal());
            told = System.nanoTime();
            host.call().answer("HTTP/1.1 429 Too Many Requests\r\nRetry-After: 5.5\r\nContent-Length: 0\r\n\r\n");
            while (Files.size(platform.journal()) == before) {
                Thread.sleep(5);
            }
        }
        try (RelayProcess relay = relay()) {
            assertEquals("a", host.call().header("X-Request-ID"));
            assertTrue(System.nanoTime() - told >= 5_500_000_000L, "the wait binds the next life");
        }
    }

    @Test
    void aMessageWhoseTimePassedWhileTheRelayWasDownStillGetsItsNotice() throws Exception {
        try (RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 400).get(0));
            assertNotNull(host.call());
        }
        Thread.sleep(400);
        try (RelayProcess relay = relay()) {
            assertEquals("{\"message\":\"a\",\"outcome\":\"given_up\"}", platform.notice());
        }
    }

    /** Guards the rule on drains: a host that the watch calls draining gets nothing new. */
    @Test
    void aDrainingHostGetsNothingNewAndItsReplacementDoes() throws Exception {
        try (HostStub other = new HostStub();
                RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            platform.changes.add(
                    list(2, false, host("s-1", host.port(), 7, "draining"), host("s-2", other.port(), 7, "ready")));
            // The third watch is only asked for once the second list has been taken in.
            platform.changes.add(list(3, false));
            while (!platform.changes.isEmpty()) {
                Thread.sleep(5);
            }
            for (int i = 0; i < 3; i++) {
                assertEquals(TAKEN, client.post("m" + i, "bill", 7, 16_000).get(0));
                other.call().answer(HostStub.OK);
                awaitClosedJournal(relay);
            }
            assertTrue(host.quiet());
        }
    }

    /** Guards the watch against standing still, and against asking without a pause, after a list it cannot read. */
    @Test
    void theWatchGoesOnAfterAListThatCannotBeRead() throws Exception {
        try (HostStub other = new HostStub();
                RelayProcess relay = relay();
                var client = new PlatformStub.Client(relay)) {
            platform.changes.add("{\"seq\":2,\"whole\":true,\"hosts\":[{}]}");
            platform.changes.add("nonsense");
            platform.changes.add(list(3, true, host("s-2", other.port(), 8, "ready")));
            platform.changes.add(list(4, false));
            while (!platform.changes.isEmpty()) {
                Thread.sleep(5);
            }
            assertEquals(TAKEN, client.post("a", "bill", 8, 16_000).get(0));
            assertEquals("a", other.call().header("X-Request-ID"));
        }
    }

    /** Guards the orderly end: clients are answered and turned away, and what is out is finished first. */
    @Test
    void atTheOrderlyEndClientsAreServedAndCallsFinished() throws Exception {
        RelayProcess relay = relay();
        try (var client = new PlatformStub.Client(relay)) {
            assertEquals(TAKEN, client.post("a", "bill", 7, 16_000).get(0));
            Thread end = new Thread(relay::leave);
            end.start();
            List<String> health;
            do {
                try (var probe = new PlatformStub.Client(relay)) {
                    health = probe.raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", new byte[0]);
                }
            } while (health.get(0).contains("200"));
            List<String> answer = client.post("b", "bill", 7, 16_000);
            assertEquals(TAKEN, answer.get(0));
            assertTrue(answer.stream().anyMatch("connection: close"::equalsIgnoreCase), answer.toString());
            assertTrue(client.closed());
            host.call().answer(HostStub.OK);
            host.call().answer(HostStub.OK);
            end.join();
        }
        try (Journal journal = new Journal(platform.journal().getParent(), 3_000_000, 12)) {
            assertTrue(journal.owed().isEmpty(), "both were delivered before the end");
        }
    }

    @Test
    void anUnusableConfigurationIsOnePlainLine() throws IOException {
        assertThrows(Config.Unusable.class, () -> Config.read(Map.of()));
        Path file = Files.writeString(folder.resolve("bad.json"), "{\"listen\":");
        var fault = assertThrows(
                Config.Unusable.class,
                () -> Config.read(Map.of("EDGE_CONFIG", file.toString(), "EDGE_STATE", folder.toString())));
        assertEquals(1, fault.getMessage().lines().count());
        assertThrows(Wire.Malformed.class, () -> Addresses.parse("localhost:80"));
        assertEquals(2, RelayProcess.serve(Map.of()));
    }
}
