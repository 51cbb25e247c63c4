package brambletray.relay.http.hosts;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.DescriptorBudget;
import brambletray.relay.core.Host;
import brambletray.relay.core.HostTransport;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import brambletray.relay.stub.HostStub;
import brambletray.relay.stub.PlatformStub;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Several messages in one call: what goes out, and what each of them learns of it. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class BundleTest {
    private static final long LONG = 60_000_000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HostPool pool =
            new HostPool(Machine.real(group.next()), LONG, 15_000_000, n -> {}, new DescriptorBudget(1_000));
    private final Host listed = new Host(1, "s-1");
    private final BlockingQueue<Map.Entry<String, CallReply>> replies = new LinkedBlockingQueue<>();

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private HostTransport.Part part(String id, long patience, int bytes) {
        Message m = new Message(id, "bill", 0, null, "key-" + id, 7, 0, Body.of(new byte[bytes]));
        return new HostTransport.Part(m, patience, reply -> replies.add(Map.entry(id, reply)));
    }

    private List<HostTransport.Call> bundle(HostStub host, HostTransport.Part... parts) throws Exception {
        listed.address = new InetSocketAddress(PlatformStub.LOOPBACK, host.port());
        return group.next().submit(() -> pool.callBatch(listed, List.of(parts))).get();
    }

    private List<HostTransport.Call> three(HostStub host) throws Exception {
        return bundle(host, part("a", LONG, 3), part("b", LONG, 0), part("c", LONG, 10));
    }

    /** The outcomes of so many messages; fails where one learns more than once. */
    private Map<String, Outcome> outcomes(int messages) throws InterruptedException {
        Map<String, Outcome> all = new TreeMap<>();
        for (int i = 0; i < messages; i++) {
            var told = replies.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
            assertNotNull(told, "told so far: " + all);
            assertNull(all.put(told.getKey(), told.getValue().outcome()), "told twice");
        }
        assertTrue(replies.isEmpty());
        return all;
    }

    private static String answer(int status, String head, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String states(String a, String b, String c) {
        return "[{\"id\":\"a\",\"state\":\"" + a + "\"},{\"more\":[{}],\"id\":\"b\",\"state\":\"" + b
                + "\"},{\"id\":\"c\",\"state\":\"" + c + "\"}]";
    }

    @Test
    void severalMessagesAreOneCallAndEachHasItsOutcome() throws Exception {
        try (HostStub host = new HostStub()) {
            three(host);
            HostStub.Call call = host.call();
            assertEquals("POST /v1/messages:batch HTTP/1.1", call.head().get(0));
            assertNull(call.header("X-Request-ID"));
            assertEquals(
                    "[{\"id\":\"a\",\"key\":\"key-a\",\"body\":\"AAAA\"},{\"id\":\"b\",\"key\":\"key-b\",\"body\":\"\"},"
                            + "{\"id\":\"c\",\"key\":\"key-c\",\"body\":\"AAAAAAAAAAAAAA==\"}]",
                    call.body());
            call.answer(answer(200, "X-Server-Load: x0=0.1,x1=4\r\n", states("accepted", "deferred", "fault")));
            assertEquals(Map.of("a", Outcome.OK, "b", Outcome.FULL, "c", Outcome.ERROR), outcomes(3));
            bundle(host, part("d", LONG, 1), part("e", LONG, 1));
            HostStub.Call next = host.call();
            assertSame(call.socket(), next.socket(), "the connection is kept");
            next.answer(answer(200, "", "[{\"id\":\"d\",\"state\":\"expired\"},{\"id\":\"e\",\"state\":\"no_more\"}]"));
            var first = replies.take();
            var second = replies.take();
            assertTrue(first.getValue().isFinal() && first.getValue().outcome() == Outcome.NOT_SENT);
            assertTrue(!second.getValue().isFinal() && second.getValue().outcome() == Outcome.NOT_SENT);
            assertTrue(second.getValue().reused());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "429, Retry-After: 0.5, FULL, 500000",
        "503, , FULL, 0",
        "503, X-No-Slot: 1, NOT_SENT, 0",
        "500, , ERROR, 0",
        "413, , NOT_SENT, 0",
        "400, , NOT_SENT, 0",
        "410, , ERROR, 0",
        "504, , ERROR, 0",
        "302, , ERROR, 0"
    })
    void anAnswerToAllHoldsForEach(int status, String head, Outcome outcome, long wait) throws Exception {
        try (HostStub host = new HostStub()) {
            three(host);
            host.call().answer(answer(status, head == null ? "" : head + "\r\n", ""));
            for (int i = 0; i < 3; i++) {
                CallReply reply = replies.take().getValue();
                assertEquals(outcome, reply.outcome());
                assertEquals(wait, reply.retryAfter());
                assertFalse(reply.isFinal());
            }
        }
    }

    /** A wait told beside the outcomes binds like that of a refusal. */
    @Test
    void aWaitInAGoodAnswerIsTold() throws Exception {
        try (HostStub host = new HostStub()) {
            three(host);
            host.call().answer(answer(200, "Retry-After: 0.25\r\n", states("accepted", "accepted", "deferred")));
            for (int i = 0; i < 3; i++) {
                assertEquals(250_000, replies.take().getValue().retryAfter());
            }
        }
    }

    /** Guards the rule on effects: where an answer does not say that a message never ran, it may have run. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "ok",
                "{}",
                "[",
                "[]",
                "[{\"id\":\"a\",\"state\":\"deferred\"}",
                "[{\"id\":\"x\",\"state\":\"deferred\"}]",
                "[{\"id\":\"a\",\"state\":\"deferred\"},{\"id\":\"a\",\"state\":\"accepted\"}]",
                "[{\"id\":\"a\"}]",
                "[{\"state\":\"deferred\"}]",
                "[{\"id\":\"a\",\"state\":\"deferred\"}] x",
                "[{\"id\":\"a\",\"state\":[\"deferred\"]}]"
            })
    void anAnswerThatDoesNotTellMayHaveRun(String body) throws Exception {
        try (HostStub host = new HostStub()) {
            three(host);
            host.call().answer(answer(200, "", body));
            assertEquals(Map.of("a", Outcome.ERROR, "b", Outcome.ERROR, "c", Outcome.ERROR), outcomes(3));
        }
    }

    /** A status line of 200 is no delivery where the answer must name each message. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 50||[{\"id\", RESET",
        "HTTP/1.1 200 OK|Content-Length: 5, ERROR",
        "'', RESET"
    })
    void aConnectionThatBreaksInTheAnswerMayHaveRun(String text, Outcome outcome) throws Exception {
        try (HostStub host = new HostStub()) {
            three(host);
            HostStub.Call call = host.call();
            call.answer(text.replace("|", "\r\n"));
            call.socket().close();
            assertEquals(Map.of("a", outcome, "b", outcome, "c", outcome), outcomes(3));
        }
    }

    @Test
    void anAnswerThatEndsWithItsConnectionIsWhole() throws Exception {
        try (HostStub host = new HostStub()) {
            three(host);
            HostStub.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + states("accepted", "accepted", "deferred"));
            call.socket().close();
            assertEquals(Map.of("a", Outcome.OK, "b", Outcome.OK, "c", Outcome.FULL), outcomes(3));
        }
    }

    /** One that is given up takes nothing from the others; the host learns with the last. */
    @Test
    void messagesAreGivenUpOneByOne() throws Exception {
        try (HostStub host = new HostStub()) {
            List<HostTransport.Call> calls = bundle(host, part("a", LONG, 1), part("b", LONG, 1), part("c", LONG, 1));
            HostStub.Call call = host.call();
            group.next().submit(() -> calls.get(1).cancel()).get();
            assertEquals(Map.of("b", Outcome.CANCELLED), outcomes(1));
            assertTrue(host.open(call));
            call.answer(answer(200, "", states("accepted", "accepted", "fault")));
            assertEquals(Map.of("a", Outcome.OK, "c", Outcome.ERROR), outcomes(2));
            List<HostTransport.Call> more = bundle(host, part("d", LONG, 1), part("e", LONG, 1));
            HostStub.Call last = host.call();
            group.next().submit(() -> more.forEach(HostTransport.Call::cancel)).get();
            assertEquals(2, outcomes(2).size());
            assertTrue(host.ended(last));
        }
    }

    @Test
    void eachIsWaitedForAsLongAsItsOwnPatience() throws Exception {
        try (HostStub host = new HostStub()) {
            bundle(host, part("a", 50_000, 1), part("b", LONG, 1));
            HostStub.Call call = host.call();
            assertTrue(Long.parseLong(call.header("X-Timeout-Ms")) > 1_000);
            assertEquals(Map.of("a", Outcome.TIMEOUT), outcomes(1));
            call.answer(
                    answer(200, "", "[{\"id\":\"a\",\"state\":\"accepted\"},{\"id\":\"b\",\"state\":\"accepted\"}]"));
            assertEquals(Map.of("b", Outcome.OK), outcomes(1));
        }
    }

    /** Guards the protocol's bound on bodies: large messages travel in calls of their own. */
    @Test
    void whatDoesNotFitIntoOneBodyTravelsByItself() throws Exception {
        try (HostStub host = new HostStub()) {
            bundle(host, part("a", LONG, 40_000), part("b", LONG, 40_000), part("c", LONG, 1));
            List<HostStub.Call> calls = new ArrayList<>(List.of(host.call(), host.call()));
            calls.sort(java.util.Comparator.comparing(call -> call.head().get(0)));
            assertEquals("POST /v1/messages HTTP/1.1", calls.get(0).head().get(0));
            assertEquals("a", calls.get(0).header("X-Request-ID"));
            assertTrue(calls.get(1).body().length() < 64 * 1024);
            calls.get(0).answer(HostStub.OK);
            calls.get(1)
                    .answer(answer(
                            200, "", "[{\"id\":\"b\",\"state\":\"accepted\"},{\"id\":\"c\",\"state\":\"accepted\"}]"));
            assertEquals(Map.of("a", Outcome.OK, "b", Outcome.OK, "c", Outcome.OK), outcomes(3));
        }
    }

    /** A draining host gets none of a call whose connection is still coming up. */
    @Test
    void aCallThatWaitsForItsConnectionIsTakenBackWhole() throws Exception {
        try (HostStub host = new HostStub()) {
            listed.address = new InetSocketAddress(PlatformStub.LOOPBACK, host.port());
            group.next()
                    .submit(() -> {
                        pool.callBatch(listed, List.of(part("a", LONG, 1), part("b", LONG, 1)));
                        pool.recall(listed);
                    })
                    .get();
            assertEquals(Map.of("a", Outcome.NOT_SENT, "b", Outcome.NOT_SENT), outcomes(2));
            assertTrue(host.quiet());
        }
    }
}
