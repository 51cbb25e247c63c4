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
import io.netty.channel.ChannelException;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Each way in which a call can end, by the protocol's table. */
@Timeout(value = 120, unit = TimeUnit.SECONDS)
class HostPoolTest {
    private static final long LONG = 60_000_000;
    private static final long KEEP_ALIVE = 15_000_000;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<CallReply> replies = new LinkedBlockingQueue<>();
    private final Host listed = new Host(1, "s-1");

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private HostPool pool(long keepAlive) {
        return new HostPool(Machine.real(group.next()), LONG, keepAlive, n -> {}, new DescriptorBudget(1_000));
    }

    private HostTransport.Call call(HostPool pool, int port, long patience, int bytes) throws Exception {
        listed.address = new InetSocketAddress(PlatformStub.LOOPBACK, port);
        Message message = new Message("a", "bill", 0, null, null, 7, 0, Body.of(new byte[bytes]));
        return group.next()
                .submit(() -> pool.call(listed, message, patience, replies::add))
                .get();
    }

    private CallReply reply() throws InterruptedException {
        return replies.poll(PlatformStub.PATIENCE_S, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @CsvSource({
        "200, , OK, true, 0",
        "500, , ERROR, false, 0",
        "429, Retry-After: 0.283, FULL, false, 283000",
        "429, , FULL, false, 0",
        "503, , FULL, false, 0",
        "503, X-No-Slot: 1, NOT_SENT, false, 0",
        "504, , NOT_SENT, false, 0",
        "410, , NOT_SENT, true, 0",
        "418, , ERROR, false, 0"
    })
    void anAnswerMeansWhatTheTableSays(int status, String header, Outcome outcome, boolean over, long wait)
            throws Exception {
        try (HostStub host = new HostStub()) {
            call(pool(KEEP_ALIVE), host.port(), LONG, 10);
            host.call()
                    .answer("HTTP/1.1 " + status + " x\r\nX-Server-Load: x0=0.4,x1=25\r\n"
                            + (header == null ? "" : header + "\r\n") + "Content-Length: 0\r\n\r\n");
            CallReply reply = reply();
            assertEquals(outcome, reply.outcome());
            assertEquals(over, reply.isFinal());
            assertEquals(wait, reply.retryAfter());
            assertEquals(0.4, reply.remaining());
            assertEquals(25, reply.limit());
        }
    }

    /**
     * Guards the loop and the journal against messages that are held for ever: a 200 ends its message however little
     * of the answer came with its first line, and whatever becomes of the rest.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n|Content-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\n|!",
                "HTTP/1.1 200 OK\r\nContent-Le|ngth: -4\r\n\r\n",
                "HTTP/1.1 200 OK\r\n|\0\1\2: \r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx|!"
            })
    void aDeliveredMessageIsOverAtTheFirstLineOfItsAnswer(String pieces) throws Exception {
        try (HostStub host = new HostStub()) {
            call(pool(KEEP_ALIVE), host.port(), LONG, 10);
            HostStub.Call call = host.call();
            String[] piece = pieces.split("\\|");
            call.answer(piece[0]);
            CallReply reply = reply();
            assertEquals(Outcome.OK, reply.outcome());
            assertTrue(reply.isFinal(), "delivered, and still owed");
            if (piece[1].equals("!")) {
                call.reset();
            } else {
                call.answer(piece[1]);
            }
        }
    }

    /** rb38060: idle connections to hosts held what the store needed. The one that was idle for longest goes. */
    @Test
    void aCallTakesTheDescriptorOfTheLongestIdleConnectionAndNoneOfAnothersShare() throws Exception {
        DescriptorBudget descriptors = new DescriptorBudget(64);
        HostPool pool = new HostPool(Machine.real(group.next()), LONG, KEEP_ALIVE, n -> {}, descriptors);
        int share = descriptors.share(DescriptorBudget.Owner.HOSTS);
        List<HostStub> hosts = new ArrayList<>();
        try {
            HostStub.Call first = null;
            for (int i = 0; i < share; i++) {
                hosts.add(new HostStub());
                call(pool, new Host(i, "h-" + i), hosts.get(i));
                HostStub.Call call = hosts.get(i).call();
                first = first == null ? call : first;
                call.answer(HostStub.OK);
                assertEquals(Outcome.OK, reply().outcome());
            }
            for (int i = 0; i < share; i++) {
                hosts.add(new HostStub());
                call(pool, new Host(share + i, "more-" + i), hosts.get(share + i));
                assertNotNull(hosts.get(share + i).call(), "goes out");
            }
            assertTrue(hosts.get(0).ended(first));
            hosts.add(new HostStub());
            call(pool, new Host(2 * share, "beyond"), hosts.get(2 * share));
            assertEquals(Outcome.CONNECT_FAILED, reply().outcome(), "all are in use");
            assertEquals(share, descriptors.inUse(DescriptorBudget.Owner.HOSTS));
        } finally {
            for (HostStub host : hosts) {
                host.close();
            }
        }
    }

    /** Out of descriptors, the system gives no socket: that is no connection, and must not count as one for good. */
    @Test
    void aSocketThatTheSystemRefusesIsNotHeld() throws Exception {
        DescriptorBudget descriptors = new DescriptorBudget(64);
        Machine real = Machine.real(group.next());
        boolean[] refuses = {true};
        HostPool pool = new HostPool(
                new Machine(
                        real.loop(),
                        real.clock(),
                        () -> {
                            if (refuses[0]) {
                                throw new ChannelException("Too many open files");
                            }
                            return real.sockets().newChannel();
                        },
                        real.listeners(),
                        real.sharedListeners()),
                LONG,
                KEEP_ALIVE,
                n -> {},
                descriptors);
        try (HostStub host = new HostStub()) {
            for (int i = 0; i <= descriptors.share(DescriptorBudget.Owner.HOSTS); i++) {
                call(pool, listed, host);
                assertEquals(Outcome.CONNECT_FAILED, reply().outcome());
                assertEquals(0, descriptors.inUse(DescriptorBudget.Owner.HOSTS));
            }
            group.next().submit(() -> refuses[0] = false).get();
            call(pool, listed, host);
            host.call().answer(HostStub.OK);
            assertEquals(Outcome.OK, reply().outcome());
        }
    }

    private void call(HostPool pool, Host host, HostStub to) throws Exception {
        host.address = new InetSocketAddress(PlatformStub.LOOPBACK, to.port());
        Message message = new Message("a", "bill", 0, null, null, 7, 0, Body.of(new byte[1]));
        group.next().submit(() -> pool.call(host, message, LONG, replies::add)).get();
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        int port;
        try (HostStub host = new HostStub()) {
            port = host.port();
        }
        call(pool(KEEP_ALIVE), port, LONG, 10);
        assertEquals(Outcome.CONNECT_FAILED, reply().outcome());
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteMayHaveRun() throws Exception {
        try (HostStub host = new HostStub()) {
            call(pool(KEEP_ALIVE), host.port(), LONG, 10);
            host.call().socket().close();
            assertEquals(Outcome.RESET, reply().outcome());
        }
    }

    /** Guards against a call taken for one that may have run: its last byte was never handed to the socket. */
    @Test
    void aConnectionThatBreaksBeforeTheLastByteNeverRan() throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(4_096);
            listener.bind(new InetSocketAddress(PlatformStub.LOOPBACK, 0));
            call(pool(KEEP_ALIVE), listener.getLocalPort(), LONG, 64 << 20);
            Socket socket = listener.accept();
            assertTrue(socket.getInputStream().read() >= 0);
            socket.setSoLinger(true, 0);
            socket.close();
            assertEquals(Outcome.CONNECT_RESET, reply().outcome());
        }
    }

    /** The module must know which of the two broke: only a new connection tells of its host. */
    @Test
    void aResetOfAKeptConnectionIsToldFromThatOfANewOne() throws Exception {
        try (HostStub host = new HostStub()) {
            HostPool pool = pool(KEEP_ALIVE);
            call(pool, host.port(), LONG, 10);
            host.call().answer(HostStub.OK);
            assertFalse(reply().reused());
            call(pool, host.port(), LONG, 10);
            host.call().reset();
            CallReply kept = reply();
            assertEquals(Outcome.RESET, kept.outcome());
            assertTrue(kept.reused());
            call(pool, host.port(), LONG, 10);
            host.call().reset();
            CallReply fresh = reply();
            assertEquals(Outcome.RESET, fresh.outcome());
            assertFalse(fresh.reused());
        }
    }

    @Test
    void timeOutAndCancelCloseTheConnection() throws Exception {
        try (HostStub host = new HostStub()) {
            HostPool pool = pool(KEEP_ALIVE);
            call(pool, host.port(), 200_000, 10);
            HostStub.Call late = host.call();
            assertEquals(Outcome.TIMEOUT, reply().outcome());
            HostTransport.Call call = call(pool, host.port(), LONG, 10);
            HostStub.Call second = host.call();
            assertNotSame(late.socket(), second.socket());
            group.next().submit(call::cancel).get();
            assertEquals(Outcome.CANCELLED, reply().outcome());
            call(pool, host.port(), LONG, 10);
            HostStub.Call third = host.call();
            assertNotSame(second.socket(), third.socket());
        }
    }

    /** Guards the rules on drains and waits against calls that go out when a slow connection comes up at last. */
    @Test
    void aCallThatWaitsForItsConnectionCanBeTakenBack() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, PlatformStub.LOOPBACK)) {
            HostPool pool = pool(KEEP_ALIVE);
            List<Socket> fillers = new ArrayList<>();
            // A full backlog leaves further connections hanging.
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                fillers.add(filler);
                try {
                    filler.connect(new InetSocketAddress(PlatformStub.LOOPBACK, listener.getLocalPort()), 300);
                } catch (java.net.SocketTimeoutException e) {
                    break;
                }
            }
            call(pool, listener.getLocalPort(), LONG, 10);
            group.next().submit(() -> pool.recall(listed)).get();
            assertEquals(Outcome.NOT_SENT, reply().outcome());
            for (Socket filler : fillers) {
                filler.close();
            }
        }
    }

    /** Guards against a request that crosses the host's own close: an old connection is not used again. */
    @Test
    void idleConnectionsAreClosedBeforeTheHostMay() throws Exception {
        try (HostStub host = new HostStub()) {
            HostPool pool = pool(1_000_000);
            call(pool, host.port(), LONG, 10);
            HostStub.Call first = host.call();
            first.answer(HostStub.OK);
            reply();
            while (group.next().submit(() -> pool.idle(listed)).get() > 0) {
                Thread.sleep(20);
            }
            call(pool, host.port(), LONG, 10);
            assertNotSame(first.socket(), host.call().socket());
        }
    }

    /** Guards the descriptors: the call is over at the answer's head, and the connection must not be held for ever. */
    @Test
    void anAnswerThatNeverEndsIsNotWaitedFor() throws Exception {
        try (HostStub host = new HostStub()) {
            call(pool(KEEP_ALIVE), host.port(), LONG, 10);
            HostStub.Call call = host.call();
            call.answer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi");
            assertEquals(Outcome.OK, reply().outcome());
            assertTrue(host.ended(call));
        }
    }

    @Test
    void aHostThatEndsTheConnectionWithItsAnswerIsNotAskedOnItAgain() throws Exception {
        try (HostStub host = new HostStub()) {
            HostPool pool = pool(KEEP_ALIVE);
            call(pool, host.port(), LONG, 10);
            HostStub.Call first = host.call();
            first.answer("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            assertEquals(Outcome.OK, reply().outcome());
            call(pool, host.port(), LONG, 10);
            assertNotSame(first.socket(), host.call().socket());
        }
    }

    /** Guards the rule on duplicates: only a good answer proves that a call never ran; and a 200 is true at once. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 429 x|Retry-After: 1|Content-Length: 5000000000||, ERROR",
        "HTTP/1.1 503 x|Transfer-Encoding: chunked||zz|, ERROR",
        "HTTP/1.1 504 x|Content-Length: -4||, ERROR",
        "HTTP/1.1 410 x|bad header||, ERROR",
        "HTTP/1.1 503 x|Content-Length: 9||half, ERROR",
        "noise||, ERROR",
        "HTTP/1.1 101 Switching Protocols||HTTP/1.1 503 x|Content-Length: 0||, ERROR",
        "HTTP/1.1 200 OK|Content-Length: 3000000000||, OK",
        "HTTP/1.1 200 OK|Content-Length: many||, OK",
        "HTTP/1.1 200 OK|X-Endless: , OK"
    })
    void aSpoiltAnswerMayHaveRunUnlessItsStatusLineSays200(String answer, Outcome outcome) throws Exception {
        try (HostStub host = new HostStub()) {
            HostPool pool = pool(KEEP_ALIVE);
            call(pool, host.port(), LONG, 10);
            HostStub.Call call = host.call();
            call.answer(answer.replace("|", "\r\n"));
            CallReply reply = reply();
            assertEquals(outcome, reply.outcome());
            assertEquals(0, reply.retryAfter());
            if (!answer.contains("Endless")) {
                assertTrue(host.ended(call));
            }
        }
    }

    /** Guards the core: an answer that streams on and on is cut off, not read. */
    @Test
    void anEndlessStreamIsCutOff() throws Exception {
        try (HostStub host = new HostStub()) {
            call(pool(KEEP_ALIVE), host.port(), LONG, 10);
            HostStub.Call call = host.call();
            call.answer("HTTP/1.1 503 x\r\n\r\n");
            assertThrows(java.io.IOException.class, () -> {
                while (true) {
                    call.answer("x".repeat(65_536));
                }
            });
            assertEquals(Outcome.ERROR, reply().outcome());
        }
    }

    /** Guards the next call against an answer that is not its own: what comes behind one ends the connection. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200 OK|Content-Length: 0||HTTP/1.1 503 x|Content-Length: 0||, OK",
        "HTTP/1.1 503 x|Content-Length: 0||noise, FULL",
        "HTTP/1.1 100 Continue||HTTP/1.1 103 Hints||HTTP/1.1 429 x|Content-Length: 0||HTTP/1, FULL"
    })
    void aGoodAnswerCountsAndWhatComesBehindItDoesNot(String answer, Outcome outcome) throws Exception {
        try (HostStub host = new HostStub()) {
            HostPool pool = pool(KEEP_ALIVE);
            call(pool, host.port(), LONG, 10);
            HostStub.Call first = host.call();
            first.answer(answer.replace("|", "\r\n"));
            assertEquals(outcome, reply().outcome());
            assertTrue(host.ended(first));
            call(pool, host.port(), LONG, 10);
            host.call().answer(HostStub.OK);
            assertEquals(Outcome.OK, reply().outcome());
            assertTrue(replies.isEmpty());
        }
    }

    /** Guards what is believed of load: figures beyond reason count as untold, the answer still counts. */
    @ParameterizedTest
    @ValueSource(strings = {"x0=NaN,x1=1e300", "x0=-3,x1=-1", "x0,x1", "=,,=", "x0=1e9,x1=Infinity"})
    void aLoadReportThatCannotBeReadIsUntold(String load) throws Exception {
        try (HostStub host = new HostStub()) {
            call(pool(KEEP_ALIVE), host.port(), LONG, 10);
            host.call().answer("HTTP/1.1 200 OK\r\nX-Server-Load: " + load + "\r\nContent-Length: 0\r\n\r\n");
            CallReply reply = reply();
            assertEquals(Outcome.OK, reply.outcome());
            assertEquals(-1, reply.remaining());
            assertEquals(-1, reply.limit());
        }
    }
}
