package brambletray.platform.localsystem;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.Simulation;
import brambletray.platform.configuration.Configuration;
import brambletray.platform.configuration.Service;
import brambletray.platform.platformstub.PlatformParameters;
import brambletray.platform.platformstub.PlatformStub;
import brambletray.platform.platformstub.ServiceKind;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Hosts and clients of the stand-in, in simulated time. */
class StandInTest {
    private static final long MS = 1_000_000;
    private static final int WORK = 50;

    private final Simulation simulation = new Simulation(5, 1_900_000_000_000L);
    private final Machine town = simulation.machine(address(127, 0, 0, 1));
    private final Machine outside = simulation.machine(address(127, 0, 0, 9));
    private final ExecutionLedger ledger = new ExecutionLedger();

    private static InetAddress address(int... parts) {
        try {
            return InetAddress.getByAddress(
                    new byte[] {(byte) parts[0], (byte) parts[1], (byte) parts[2], (byte) parts[3]});
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private long ms() {
        return town.clock().nanos() / MS;
    }

    private void pass(long millis) {
        simulation.runUntil(simulation.now() + millis * MS);
    }

    /** One connection, byte by byte. */
    private final class Talk extends ChannelInboundHandlerAdapter {
        private final StringBuilder heard = new StringBuilder();
        private final io.netty.channel.ChannelFuture coming;
        private boolean closed;

        Talk(InetSocketAddress to) {
            coming = outside.dialling(1_000, this).connect(to);
        }

        void ask(String id, String more) {
            String request = "GET /a/b HTTP/1.1\r\nHost: h\r\n"
                    + (id == null ? "" : "Brambletray-Attempt-Id: " + id + "\r\n") + more + "\r\n";
            coming.channel().writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        }

        String status() {
            return heard.length() < 12 ? heard.toString() : heard.substring(9, 12);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            heard.append(((ByteBuf) bytes).toString(StandardCharsets.US_ASCII));
            ((ByteBuf) bytes).release();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            closed = true;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private InetSocketAddress booth(InstanceServer booth) {
        InetSocketAddress at = new InetSocketAddress(address(127, 9, 0, 1), 80);
        booth.open(at);
        pass(5);
        return at;
    }

    private InstanceServer host(int most, int connections) {
        return new InstanceServer(
                town, "i-1", new Service("tea", 100, 400, most, connections, null, false), ledger, () -> WORK);
    }

    @Test
    void aHostWorksOnSoManyAndSaysWhatDidNotRun() {
        InetSocketAddress at = booth(host(1, 16));
        Talk first = new Talk(at);
        Talk second = new Talk(at);
        Talk third = new Talk(at);
        Talk fourth = new Talk(at);
        pass(10);
        ledger.asked("a", true);
        first.ask("a", "Brambletray-Target-Instance: i-1\r\n");
        second.ask("b", "");
        third.ask("c", "Brambletray-Target-Instance: i-2\r\n");
        fourth.ask(null, "");
        pass(WORK + 20);
        assertEquals(
                "200 503 421 400", String.join(" ", first.status(), second.status(), third.status(), fourth.status()));
        String body = first.heard.substring(first.heard.indexOf("\r\n\r\n") + 4);
        String seal = ResponseSeal.of("i-1", "a", "GET", "/a/b", new byte[0], body.getBytes(StandardCharsets.US_ASCII));
        assertTrue(
                first.heard.toString().toLowerCase().contains("brambletray-response-seal: " + seal),
                first.heard.toString());
        for (Talk talk : List.of(second, third, fourth)) {
            assertTrue(talk.heard.toString().toLowerCase().contains("brambletray-not-executed"), talk.heard.toString());
        }
        assertTrue(
                second.heard.toString().toLowerCase().contains("brambletray-attempt-id: b"), second.heard.toString());
        assertEquals(0, ledger.wrong());
    }

    @Test
    void aHostCeasesAtTheDeadlineAndWhenNobodyWaits() {
        InstanceServer booth = host(1, 16);
        InetSocketAddress at = booth(booth);
        Talk hurried = new Talk(at);
        pass(5);
        hurried.ask("a", "Brambletray-Deadline-Remaining: 20\r\n");
        pass(30);
        assertEquals("504", hurried.status());
        Talk leaving = new Talk(at);
        pass(5);
        leaving.ask("b", "");
        pass(10);
        assertEquals(1, booth.working());
        leaving.coming.channel().close();
        pass(10);
        assertEquals(0, booth.working());
    }

    @Test
    void connectionsBeyondTheMostAreResetAndAStoppedHostEndsItsWork() {
        InstanceServer booth = host(4, 2);
        InetSocketAddress at = booth(booth);
        Talk first = new Talk(at);
        Talk second = new Talk(at);
        pass(5);
        Talk third = new Talk(at);
        pass(5);
        assertTrue(third.closed && !first.closed);
        ledger.asked("a", true);
        first.ask("a", "");
        pass(10);
        booth.stop();
        pass(WORK + 10);
        assertEquals("200", first.status());
        assertTrue(first.closed && second.closed);
        Talk late = new Talk(at);
        pass(10);
        assertTrue(late.coming.isDone() && !late.coming.isSuccess());
    }

    @Test
    void aBootingHostRefusesConnections() {
        PlatformStub stand = new PlatformStub(
                new PlatformParameters(800, 10, 50, 50, 3_000, 2_000, 2_500),
                3,
                ms(),
                made -> "127.9.0." + (made + 1) + ":80");
        stand.worker("w", "east", 1_000, ms());
        stand.service("tea", new ServiceKind(100, 400, 0));
        InstanceFleet fair = new InstanceFleet(
                town, stand, Map.of("tea", new Service("tea", 100, 400, 1, 16, null, false)), ledger, WORK, 1);
        town.loop().execute(fair::begin);
        String address = stand.startInstance("tea", "w", "n", 1, ms()).address();
        assertEquals("127.9.0.1:80", address);
        InetSocketAddress at = new InetSocketAddress(address(127, 9, 0, 1), 80);
        pass(300);
        Talk early = new Talk(at);
        pass(50);
        assertTrue(early.coming.isDone() && !early.coming.isSuccess());
        pass(100);
        Talk now = new Talk(at);
        pass(10);
        assertTrue(now.coming.isSuccess());
        assertEquals(1, fair.up());
        stand.stopInstance("i-1000", 1, ms());
        pass(20);
        assertEquals(0, fair.up());
        assertTrue(now.closed);
    }

    /** A host stands in the place of the edge. */
    @Test
    void clientsAskAndJudge() {
        Configuration configuration = SampleConfiguration.configuration();
        LocalSite site = LocalSite.of(1, 1, new LocalSite.Ports(80, 2, 3, 4, 5, 6), Path.of("x"));
        InstanceServer edge =
                new InstanceServer(town, "i-1", new Service("any", 1, 1, 40, 400, null, false), ledger, () -> WORK);
        edge.open(new InetSocketAddress(address(127, 0, 0, 3), 80));
        FrontEndBalancer fronts = new FrontEndBalancer(site.edges());
        fronts.heard("edge-1", true);
        RequestCounts counts = new RequestCounts();
        TrafficGenerator callers =
                new TrafficGenerator(outside, site, fronts, configuration.routes(), ledger, counts, 0, 1);
        outside.loop().execute(() -> callers.begin(100));
        pass(1_995);
        outside.loop().execute(callers::stop);
        pass(500);
        assertEquals(200, counts.requests);
        assertEquals(200, counts.answered);
        assertEquals(0, ledger.wrong() + ledger.twice() + callers.underWay());
        edge.stop();
        outside.loop().execute(() -> callers.begin(100));
        pass(295);
        outside.loop().execute(callers::stop);
        pass(8_000);
        assertEquals(30, counts.failed);
        assertEquals(0, ledger.wrong() + ledger.twice() + callers.underWay());
    }

    /** A host stands in the place of the edge: it drops what it works on when its client disconnects. */
    @Test
    void clientsThatLeaveEarlyAreJudged() {
        Configuration configuration = SampleConfiguration.configuration();
        LocalSite site = LocalSite.of(1, 1, new LocalSite.Ports(80, 2, 3, 4, 5, 6), Path.of("x"));
        InstanceServer edge = new InstanceServer(
                town, "i-1", new Service("any", 1, 1, 400, 4_000, null, false), ledger, () -> 10 * WORK * 4);
        edge.open(new InetSocketAddress(address(127, 0, 0, 3), 80));
        FrontEndBalancer fronts = new FrontEndBalancer(site.edges());
        fronts.heard("edge-1", true);
        RequestCounts counts = new RequestCounts();
        TrafficGenerator callers =
                new TrafficGenerator(outside, site, fronts, configuration.routes(), ledger, counts, 30, 1);
        outside.loop().execute(() -> callers.begin(20));
        pass(1_995);
        outside.loop().execute(callers::stop);
        pass(5_000);
        DepartedClients.Summary summary = ledger.departedClients().summary();
        assertTrue(counts.left > 5 && counts.left == summary.clients(), summary.toString());
        assertEquals(40, counts.left + counts.late + counts.answered);
        assertTrue(summary.longRuns() > 3 && summary.wentOn() == 0 && summary.lateArrivals() == 0, summary.toString());
        // This host drops the others too, which an edge in its place must prevent.
        assertTrue(summary.cutShort() > 0 && !summary.holds(), summary.toString());
    }
}
