package brambletray.platform.provisioning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.platform.http.HeaderText;
import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.platformstub.PlatformStubServer;
import brambletray.platform.platformstub.ServiceKind;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The platform's calls, byte by byte, on a simulated network. */
class PlatformClientTest {
    private static final long MS = 1_000_000;

    private boolean mayAct = true;
    /** Calls that {@link #serve} has read. */
    private int callsRead;
    /** Header of the latest one. */
    private String dutyHolder;

    private final Simulation simulation = new Simulation(11, 1_900_000_000_000L);
    private final InetAddress there = address(1);
    private final InetSocketAddress door = new InetSocketAddress(there, 8240);
    private final Machine far = simulation.machine(there);
    private final Machine near = simulation.machine(address(2));
    private final PlatformStub stand =
            new PlatformStub(new PlatformParameters(800, 10, 50, 2, 3_000, 2_000, 2_500), 3, ms());
    private final PlatformStubServer front = new PlatformStubServer(far, stand);
    private final PlatformClient platform =
            new PlatformClient(near, door, new PlatformClient.CallerIdentity("core-1", 7), 10, () -> mayAct);

    private static InetAddress address(int last) {
        try {
            return InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) last});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private long ms() {
        return far.clock().nanos() / MS;
    }

    private void pass(long millis) {
        simulation.runUntil(simulation.now() + millis * MS);
    }

    @BeforeEach
    void open() {
        stand.worker("w-1", "north", 4_000, ms());
        stand.service("tea \"hot\"", new ServiceKind(500, 400, 0));
        front.open(door);
        pass(10);
    }

    @Test
    void startsStopsAndLists() {
        List<StartResponse> begun = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            platform.begin("tea \"hot\"", "w-1", "n-" + i, begun::add);
        }
        pass(50);
        assertEquals(5, begun.size());
        assertTrue(
                begun.stream()
                        .allMatch(one ->
                                one.result() == CallResult.OK && one.address().endsWith(":8080")),
                begun.toString());
        pass(1_500);
        List<List<ListedInstance>> lists = new ArrayList<>();
        List<List<WorkerInfo>> workers = new ArrayList<>();
        platform.list((hosts, complete) -> {
            assertTrue(complete);
            lists.add(hosts);
        });
        platform.workers(workers::add);
        pass(1_000);
        assertEquals(
                new TreeSet<>(begun.stream().map(StartResponse::id).toList()),
                new TreeSet<>(lists.get(0).stream().map(ListedInstance::id).toList()));
        assertEquals(List.of(new WorkerInfo("w-1", "north", 4_000, 1_500, false)), workers.get(0));
        List<CallResult> stopped = new ArrayList<>();
        platform.stop(begun.get(0).id(), stopped::add);
        platform.stop("i-none", stopped::add);
        platform.begin("milk", "w-1", "n-9", one -> stopped.add(one.result()));
        platform.begin("tea \"hot\"", "w-9", "n-9", one -> stopped.add(one.result()));
        pass(50);
        assertEquals(List.of(CallResult.OK, CallResult.NO_SUCH, CallResult.MALFORMED, CallResult.REJECTED), stopped);
    }

    @Test
    void aLaterFenceIsNoticed() {
        List<CallResult> results = new ArrayList<>();
        new PlatformClient(near, door, new PlatformClient.CallerIdentity("core-2", 8), 10, () -> true)
                .stop("i-none", results::add);
        pass(20);
        platform.stop("i-none", results::add);
        pass(20);
        assertEquals(List.of(CallResult.NO_SUCH, CallResult.FENCED), results);
    }

    @Test
    void listsKeepTheRate() {
        List<Boolean> whole = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            platform.list((hosts, complete) -> whole.add(complete));
        }
        pass(2_000);
        assertTrue(whole.size() > 10 && whole.size() < 25, whole.size() + " in two seconds");
        pass(2_000);
        assertEquals(30, whole.size());
        assertTrue(whole.stream().allMatch(complete -> complete));
    }

    @Test
    void silenceIsUnknownAndKeptConnectionsThatBreakAreNoMatter() {
        List<CallResult> results = new ArrayList<>();
        platform.begin("tea \"hot\"", "w-1", "n-1", one -> results.add(one.result()));
        pass(20);
        simulation.network().mute(there);
        platform.begin("tea \"hot\"", "w-1", "n-2", one -> results.add(one.result()));
        pass(1_400);
        assertEquals(List.of(CallResult.OK), results);
        pass(200);
        assertEquals(List.of(CallResult.OK, CallResult.UNKNOWN), results);
        simulation.network().unmute(there);
        platform.begin("tea \"hot\"", "w-1", "n-2", one -> results.add(one.result()));
        pass(50);
        assertEquals(List.of(CallResult.OK, CallResult.UNKNOWN, CallResult.OK), results);
        simulation.network().vanish(there);
        simulation.network().comeBack(there);
        platform.begin("tea \"hot\"", "w-1", "n-3", one -> results.add(one.result()));
        pass(2_000);
        assertEquals(4, results.size());
    }

    /** A server that answers 200, {@code late} ms late, and closes a connection after so many calls without a word. */
    private void serve(InetSocketAddress address, int calls, long late) {
        far.listening(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(9_000),
                                        new Server(calls, late));
                    }
                })
                .bind(address);
        pass(5);
    }

    private final class Server extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final long late;
        private int left;

        private Server(int calls, long late) {
            this.left = calls;
            this.late = late;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            callsRead++;
            dutyHolder = request.headers().get("Brambletray-Duty-Holder");
            if (left-- == 0) {
                context.close();
                return;
            }
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            answer.headers().setInt("Content-Length", 0);
            context.executor().schedule(() -> context.writeAndFlush(answer), late, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void aSlowPlatformIsGivenMoreTime() {
        InetSocketAddress slow = new InetSocketAddress(there, 8242);
        serve(slow, 9, 1_700);
        PlatformClient other =
                new PlatformClient(near, slow, new PlatformClient.CallerIdentity("core-1", 7), 10, () -> mayAct);
        List<CallResult> results = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            other.stop("i-1", results::add);
            pass(2_000);
        }
        assertEquals(List.of(CallResult.UNKNOWN, CallResult.OK), results);
    }

    /** Rule Duty: a call that waited for a connection goes out only under a term that is still held. */
    @Test
    void aCallThatWaitedIsNotSentOnceTheTermIsOver() {
        InetSocketAddress slow = new InetSocketAddress(there, 8242);
        serve(slow, 99, 500);
        PlatformClient other =
                new PlatformClient(near, slow, new PlatformClient.CallerIdentity("core-1", 7), 10, () -> mayAct);
        List<CallResult> results = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            other.stop("i-" + i, results::add);
        }
        pass(200);
        int sentUnderTheTerm = callsRead;
        assertTrue(sentUnderTheTerm > 0 && sentUnderTheTerm < 40, sentUnderTheTerm + " sent at once");
        mayAct = false;
        pass(1_200);
        assertEquals(sentUnderTheTerm, callsRead);
        assertEquals(40, results.size());
        assertEquals(
                40 - sentUnderTheTerm,
                results.stream().filter(result -> result == CallResult.UNKNOWN).count());
    }

    /** The same for one whose connection broke under it. */
    @Test
    void aCallIsNotSentAgainOnceTheTermIsOver() {
        InetSocketAddress moody = new InetSocketAddress(there, 8241);
        serve(moody, 1, 0);
        PlatformClient other =
                new PlatformClient(near, moody, new PlatformClient.CallerIdentity("core-1", 7), 10, () -> mayAct);
        List<CallResult> results = new ArrayList<>();
        other.stop("i-1", results::add);
        pass(50);
        other.stop("i-2", results::add);
        mayAct = false;
        pass(50);
        assertEquals(2, callsRead);
        assertEquals(List.of(CallResult.OK, CallResult.UNKNOWN), results);
    }

    @Test
    void aKeptConnectionThatClosesUnderACallIsNoMatter() {
        InetSocketAddress moody = new InetSocketAddress(there, 8241);
        serve(moody, 1, 0);
        PlatformClient other =
                new PlatformClient(near, moody, new PlatformClient.CallerIdentity("core-1", 7), 10, () -> mayAct);
        List<CallResult> results = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            other.stop("i-" + i, results::add);
            pass(50);
        }
        assertEquals(List.of(CallResult.OK, CallResult.OK, CallResult.OK), results);
    }

    /** Guards the fence: holders whose names differ beyond ASCII only were one holder to the platform. */
    @Test
    void holderNamesBeyondAsciiAreSentAsUtf8() {
        InetSocketAddress address = new InetSocketAddress(there, 8242);
        serve(address, 9, 0);
        List<String> seen = new ArrayList<>();
        for (String name : List.of("Cần", "Cẩn", "core-1\r\nX: 1")) {
            new PlatformClient(near, address, new PlatformClient.CallerIdentity(name, 7), 10, () -> mayAct)
                    .stop("i-1", result -> seen.add(dutyHolder));
            pass(50);
        }
        assertEquals(
                List.of("Cần", "Cẩn", "core-1%0D%0AX:%201"),
                seen.stream().map(HeaderText::decode).toList());
    }

    @Test
    void nobodyThereIsUnknownAtOnce() {
        front.close();
        pass(5);
        List<Object> heard = new ArrayList<>();
        platform.stop("i-1", heard::add);
        platform.list((hosts, complete) -> heard.add(complete));
        platform.workers(workers -> heard.add(workers == null));
        pass(1_200);
        assertEquals(3, heard.size(), heard.toString());
        assertTrue(heard.containsAll(List.of(CallResult.UNKNOWN, false, true)), heard.toString());
    }

    @Test
    void whatIsNoAnswerIsAFaultWithACode() {
        PlatformJson pages = new PlatformJson();
        for (String body : List.of(
                "",
                "[]",
                "{\"instances\":3}",
                "{\"instances\":[{\"instance-id\":\"i-1\"}]}",
                "{\"instances\":[",
                "null")) {
            try {
                pages.parseInstances(body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
                throw new AssertionError(body);
            } catch (ProvisioningException e) {
                assertEquals("provisioning.platform-answer", e.code());
            }
        }
        assertNull(pages.parseInstances("{\"instances\":[],\"next-token\":null,\"more\":{\"a\":[1]}}"
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8))
                .next());
    }
}
