package brambletray.common.simulation;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.common.runtime.Machine;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.DuplexChannel;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the simulated network does to connections, as real ones do. */
class SimNetworkTest {
    private static final long MS = 1_000_000;
    private final Simulation simulation = new Simulation(1, 1_900_000_000_000L);
    private final InetAddress home = address(1);
    private final InetAddress away = address(2);
    private final InetSocketAddress door = new InetSocketAddress(away, 80);
    private final Machine client = simulation.machine(home);
    private final Machine server = simulation.machine(away);
    private final List<String> log = new ArrayList<>();
    private Channel accepted;

    private static InetAddress address(int last) {
        try {
            return InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) last});
        } catch (java.net.UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Writes down what an end of a connection sees, with the time in ms. */
    private final class Watch extends ChannelInboundHandlerAdapter {
        private final String who;

        Watch(String who) {
            this.who = who;
        }

        private void note(String what) {
            log.add(simulation.now() / MS + " " + who + " " + what);
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            note("up");
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            note("closed");
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            note(((ByteBuf) bytes).toString(StandardCharsets.US_ASCII));
            ((ByteBuf) bytes).release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            note(cause.getMessage());
        }
    }

    @BeforeEach
    void serve() {
        simulation.network().usual(new SimNetwork.Way(10 * MS, 0));
        server.listening(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted = channel;
                        channel.pipeline().addLast(new Watch("server"));
                    }
                })
                .bind(door);
        simulation.runUntil(0);
    }

    private ChannelFuture connect() {
        return client.dialling(1_000, new Watch("client")).connect(door);
    }

    private Channel connected() {
        ChannelFuture future = connect();
        simulation.runUntil(simulation.now() + 20 * MS);
        assertTrue(future.isSuccess());
        log.clear();
        return future.channel();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Test
    void bytesTakeTheWaysTimeAndStayInOrder() {
        Channel c = connected();
        simulation.network().way(home, away, new SimNetwork.Way(30 * MS, 0));
        c.writeAndFlush(bytes("slow"));
        simulation.network().way(home, away, new SimNetwork.Way(MS, 0));
        c.writeAndFlush(bytes("fast"));
        simulation.runUntil(200 * MS);
        assertEquals(List.of("50 server slow", "50 server fast"), log);
    }

    @Test
    void whereNobodyListensAConnectionIsRefused() {
        ChannelFuture future = client.dialling(1_000, new Watch("client")).connect(new InetSocketAddress(away, 81));
        simulation.runUntil(19 * MS);
        assertFalse(future.isDone());
        simulation.runUntil(20 * MS);
        assertInstanceOf(ConnectException.class, future.cause());
        assertFalse(future.channel().isOpen());
    }

    @Test
    void aMachineThatVanishedNeverAnswersAndResetsWhenItIsBack() {
        Channel c = connected();
        simulation.network().vanish(away);
        c.writeAndFlush(bytes("x"));
        ChannelFuture late = connect();
        simulation.runUntil(900 * MS);
        assertFalse(late.isDone());
        assertTrue(c.isActive());
        simulation.runUntil(1_100 * MS);
        assertInstanceOf(ConnectTimeoutException.class, late.cause());
        assertEquals(List.of(), log);
        simulation.network().comeBack(away);
        simulation.runUntil(1_200 * MS);
        assertFalse(c.isActive());
        assertTrue(log.contains("1100 client Connection reset"), log.toString());
        assertNotNull(connected());
    }

    /** The end that sends n bytes sees its write succeed; the other sees those n bytes and then a reset. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7, 9, 10})
    void aConnectionIsCutAfterAnyByte(int n) {
        Channel c = connected();
        ((SimChannel) c).cutAfter(n);
        ChannelFuture written = c.writeAndFlush(bytes("0123456789"));
        simulation.runUntil(100 * MS);
        assertTrue(written.isSuccess());
        List<String> seen = new ArrayList<>();
        if (n > 0) {
            seen.add("30 server " + "0123456789".substring(0, n));
        }
        seen.addAll(List.of(
                "30 client Connection reset", "30 client closed", "30 server Connection reset", "30 server closed"));
        assertEquals(seen.stream().sorted().toList(), log.stream().sorted().toList());
    }

    /** Half of a connection is closed: what was sent before arrives, and the other end closes too. */
    @Test
    void aHalfClosedConnectionStillBringsWhatWasSent() {
        Channel c = connected();
        accepted.write(bytes("bye"));
        accepted.flush();
        ((DuplexChannel) accepted).shutdownOutput();
        simulation.runUntil(100 * MS);
        assertEquals(List.of("30 client bye", "30 client closed", "40 server closed"), log);
        assertFalse(c.isActive());
    }

    @Test
    void closingWithBytesUnreadResets() {
        Channel c = connected();
        accepted.config().setAutoRead(false);
        accepted.read();
        simulation.runUntil(25 * MS);
        c.writeAndFlush(bytes("read"));
        simulation.runUntil(45 * MS);
        c.writeAndFlush(bytes("unread"));
        simulation.runUntil(65 * MS);
        accepted.close();
        simulation.runUntil(100 * MS);
        assertTrue(log.contains("75 client Connection reset"), log.toString());
    }

    @Test
    void lingerZeroResets() {
        connected();
        accepted.config().setOption(ChannelOption.SO_LINGER, 0);
        accepted.close();
        simulation.runUntil(100 * MS);
        assertEquals(List.of("20 server closed", "30 client Connection reset", "30 client closed"), log);
    }

    /** A receiver that does not read stops its sender at the window, and lets it go on as it reads. */
    @Test
    void aReceiverThatDoesNotReadHoldsItsSenderBack() {
        Channel c = connected();
        accepted.config().setAutoRead(false);
        simulation.runUntil(30 * MS);
        ChannelFuture first = c.writeAndFlush(Unpooled.wrappedBuffer(new byte[SimNetwork.WINDOW]));
        // The read that was asked for before still takes the first; the second fills the window.
        c.writeAndFlush(Unpooled.wrappedBuffer(new byte[SimNetwork.WINDOW]));
        ChannelFuture second = c.writeAndFlush(Unpooled.wrappedBuffer(new byte[1]));
        simulation.runUntil(1_000 * MS);
        assertTrue(first.isSuccess());
        assertFalse(second.isDone());
        accepted.config().setAutoRead(true);
        simulation.runUntil(2_000 * MS);
        assertTrue(second.isSuccess());
    }

    @Test
    void everyByteCanComeByItself() {
        Channel c = connected();
        simulation.network().segment(1);
        c.writeAndFlush(bytes("abc"));
        simulation.runUntil(100 * MS);
        // They arrive at one instant, but as pieces of their own.
        assertEquals(3, log.stream().filter(l -> l.startsWith("30 server")).count(), log.toString());
    }

    @Test
    void aProcessThatIsKilledResetsItsConnectionsAndRefusesNewOnes() {
        Channel c = connected();
        simulation.kill(server);
        simulation.runUntil(30 * MS);
        assertEquals(List.of("30 client Connection reset", "30 client closed"), log);
        assertFalse(c.isActive());
        ChannelFuture again = connect();
        simulation.runUntil(60 * MS);
        assertInstanceOf(ConnectException.class, again.cause());
    }

    @Test
    void timersOfAMachineGoByTheSimulatedClock() {
        List<Long> fired = new ArrayList<>();
        client.loop().scheduleAtFixedRate(() -> fired.add(client.clock().unixMillis()), 3, 5, TimeUnit.SECONDS);
        simulation.runUntil(14_000 * MS);
        assertEquals(List.of(1_900_000_003_000L, 1_900_000_008_000L, 1_900_000_013_000L), fired);
    }

    /** A cut direction holds bytes up; the other goes on. */
    @Test
    void aCutDirectionHoldsUpWhatIsSentUntilItIsJoined() {
        Channel c = connected();
        simulation.network().cut(home, away);
        c.writeAndFlush(bytes("up"));
        accepted.writeAndFlush(bytes("down"));
        ChannelFuture late = connect();
        simulation.runUntil(900 * MS);
        assertEquals(List.of("30 client down"), log);
        assertFalse(late.isDone());
        simulation.network().join(home, away);
        simulation.runUntil(1_000 * MS);
        assertTrue(log.contains("910 server up"), log.toString());
    }

    /**
     * An end whose bytes stay unanswered gives up; what it had sent is lost, and the other end hears of it once it
     * sends.
     */
    @Test
    void anEndGivesUpWhenNothingIsAnswered() {
        simulation.network().patience(80, 500 * MS, 1_000 * MS);
        Channel c = connected();
        simulation.network().cut(away, home);
        simulation.network().cut(home, away);
        c.writeAndFlush(bytes("x"));
        simulation.runUntil(600 * MS);
        assertEquals(List.of("520 client Connection timed out", "520 client closed"), log);
        assertTrue(accepted.isActive());
        simulation.network().join(home, away);
        simulation.network().join(away, home);
        accepted.writeAndFlush(bytes("y"));
        simulation.runUntil(700 * MS);
        assertEquals(List.of("620 server Connection reset", "620 server closed"), log.subList(2, log.size()));
    }

    /** Idle ends probe one another, and give up a little later. */
    @Test
    void idleEndsGiveUpAfterTheProbes() {
        simulation.network().patience(80, 500 * MS, 1_000 * MS);
        connected();
        simulation.network().cut(away, home);
        simulation.runUntil(2_000 * MS);
        assertEquals(
                List.of(
                        "1520 client Connection timed out",
                        "1520 client closed",
                        "1520 server Connection timed out",
                        "1520 server closed"),
                log.stream().sorted().toList());
    }

    /** A frozen process does nothing; what came for it is there when it goes on. */
    @Test
    void aFrozenProcessMissesNothing() {
        Channel c = connected();
        simulation.freeze(server);
        c.writeAndFlush(bytes("x"));
        simulation.runUntil(500 * MS);
        assertEquals(List.of(), log);
        simulation.thaw(server);
        simulation.runUntil(501 * MS);
        assertEquals(List.of("500 server x"), log);
    }

    /** As after SIGSTOP: what has come is read first, in order, and only then do the timers fire that are late. */
    @Test
    void aMachineThatStandsStillReadsBeforeItsLateTimersFire() {
        Channel c = connected();
        simulation.runUntil(40 * MS);
        log.clear();
        c.writeAndFlush(bytes("early"));
        server.loop().schedule(() -> log.add(simulation.now() / MS + " timer"), 5, TimeUnit.MILLISECONDS);
        simulation.runUntil(42 * MS);
        simulation.freeze(server, 500 * MS);
        c.writeAndFlush(bytes("late"));
        simulation.runUntil(541 * MS);
        assertEquals(List.of(), log);
        simulation.runUntil(600 * MS);
        assertEquals(3, log.size(), log.toString());
        assertTrue(
                log.get(0).contains("early")
                        && log.get(1).contains("late")
                        && log.get(2).equals("542 timer"),
                log.toString());
        assertTrue(accepted.isActive());
    }

    @Test
    void aSmallWindowMakesWritesPartial() {
        Channel c = connected();
        simulation.network().window(2);
        accepted.config().setAutoRead(false);
        simulation.runUntil(30 * MS);
        ChannelFuture whole = c.writeAndFlush(bytes("abcdef"));
        simulation.runUntil(200 * MS);
        assertFalse(whole.isDone());
        accepted.config().setAutoRead(true);
        simulation.runUntil(400 * MS);
        assertTrue(whole.isSuccess());
    }
}
