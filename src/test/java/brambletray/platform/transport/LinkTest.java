package brambletray.platform.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import brambletray.common.runtime.Machine;
import brambletray.common.simulation.SimNetwork;
import brambletray.common.simulation.Simulation;
import brambletray.platform.settings.Address;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Links in simulated time, over a network that cuts what is sent into chunks. */
class LinkTest {
    private static final long SEED = 99;
    private static final int PORT = 7_400;

    record Word(int number, String text) {}

    record Other(int number) {}

    private final Simulation simulation = new Simulation(SEED, 0);
    private final InetAddress here = ip("10.0.0.1");
    private final InetAddress there = ip("10.0.0.2");
    private final Machine caller = simulation.machine(here);
    private final Machine called = simulation.machine(there);
    private final FrameCodec speech = new FrameCodec(List.of(List.of(Word.class)));
    private final FrameCodec answers = new FrameCodec(List.of(List.of(Word.class)));
    private final Heard mine = new Heard();
    private final Heard theirs = new Heard();
    private long now;

    LinkTest() {
        simulation.network().usual(new SimNetwork.Way(TimeUnit.MILLISECONDS.toNanos(2), 0.5));
        simulation.network().segment(700);
    }

    private static InetAddress ip(String text) {
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Notes what a handler is told. */
    private static class Heard implements LinkHandler {
        final List<String> events = new ArrayList<>();
        final List<Object> frames = new ArrayList<>();
        Link link;

        @Override
        public void onLinkUp(Link up) {
            link = up;
            events.add("up");
        }

        @Override
        public void onFrame(Link from, Object frame) {
            frames.add(frame);
        }

        @Override
        public void onLinkDown(Link was, String reason) {
            link = null;
            events.add("down");
        }
    }

    private void run(long ms) {
        now += TimeUnit.MILLISECONDS.toNanos(ms);
        simulation.runUntil(now);
    }

    private LinkListener listen(LinkHandler handler) {
        return new LinkListener(called, answers, new Address("10.0.0.2", PORT), handler);
    }

    private LinkDialer dial(LinkHandler handler) {
        return new LinkDialer(caller, speech, new Address("10.0.0.2", PORT), handler, SEED);
    }

    @Test
    void framesArriveInTheOrderInWhichTheyWereSaid() {
        listen(theirs);
        LinkDialer dialler = dial(mine);
        run(100);
        assertEquals(List.of("up"), mine.events);
        assertEquals(List.of("up"), theirs.events);
        List<Object> said = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            Word word = new Word(i, "x".repeat(i));
            said.add(word);
            assertTrue(dialler.send(word));
        }
        theirs.link.send(new Word(-1, "back"));
        run(3_000);
        assertEquals(said, theirs.frames);
        assertEquals(List.of(new Word(-1, "back")), mine.frames);
        assertEquals(0, dialler.link().pendingByteCount());
    }

    @Test
    void aTurnOfTheLoopIsOneWrite() {
        listen(theirs);
        LinkDialer dialler = dial(mine);
        run(100);
        int[] pieces = new int[1];
        simulation.network().segment(64 * 1024);
        simulation.network().whenSent(from -> pieces[0]++);
        for (int i = 0; i < 100; i++) {
            dialler.send(new Word(i, "word"));
        }
        run(100);
        assertEquals(100, theirs.frames.size());
        assertEquals(1, pieces[0]);
    }

    @Test
    void callsAgainWithGrowingPausesUntilSomebodyIsThere() {
        List<Long> calls = new ArrayList<>();
        Channel refusing = called.listening(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        calls.add(TimeUnit.NANOSECONDS.toMillis(simulation.now()));
                        channel.close();
                    }
                })
                .bind(new InetSocketAddress(there, PORT))
                .channel();
        dial(mine);
        run(10_000);
        assertTrue(calls.size() > 10 && calls.size() < 20, calls.toString());
        for (int i = 1; i < calls.size(); i++) {
            long most = Math.min(LinkDialer.MAX_BACKOFF_MS, (long) LinkDialer.MIN_BACKOFF_MS << i - 1);
            long delayMs = calls.get(i) - calls.get(i - 1);
            assertTrue(delayMs >= most * 3 / 4 && delayMs <= most + 10, calls.toString());
        }
        refusing.close();
        listen(theirs);
        run(1_100);
        assertEquals(List.of("up"), mine.events);
    }

    @Test
    void aLinkThatEndsIsCalledAgainAtOnceUnlessItIsClosed() {
        listen(theirs);
        LinkDialer dialler = dial(mine);
        run(2_000);
        theirs.link.close("enough");
        run(100);
        assertEquals(List.of("up", "down", "up"), mine.events);
        dialler.close();
        run(5_000);
        assertEquals(List.of("up", "down", "up", "down"), mine.events);
        assertNull(dialler.link());
        assertFalse(dialler.send(new Word(0, "")));
    }

    @Test
    void oneOfAnotherBuildIsNeverUp() {
        FrameCodec older = new FrameCodec(List.of(List.of(Other.class)));
        new LinkListener(called, older, new Address("10.0.0.2", PORT), theirs);
        dial(mine);
        run(5_000);
        assertEquals(List.of(), mine.events);
        assertEquals(List.of(), theirs.events);
    }

    @Test
    void aCallerThatDoesNotGreetIsCutOff() {
        listen(theirs);
        Channel silent = caller.dialling(1_000, new ChannelInboundHandlerAdapter())
                .connect(new InetSocketAddress(there, PORT))
                .channel();
        run(1_900);
        assertTrue(silent.isActive());
        run(200);
        assertFalse(silent.isActive());
        assertEquals(List.of(), theirs.events);
    }

    @Test
    void aFrameThatCannotBeReadEndsTheLink() {
        for (byte[] bad :
                List.of(new byte[] {0x7f, 0, 0, 0}, new byte[] {0, 0, 0, 3, 1, 2, 3}, new byte[] {0, 0, 0, 0})) {
            Heard heard = new Heard();
            LinkListener listener = listen(heard);
            LinkDialer dialler = dial(mine);
            run(100);
            dialler.link().sendRaw(Unpooled.wrappedBuffer(bad));
            run(20);
            assertEquals("down", heard.events.get(1));
            dialler.close();
            listener.close();
            run(100);
        }
    }

    @Test
    void aHandlerThatFailsEndsTheLinkAndNothingElse() {
        listen(new Heard() {
            @Override
            public void onFrame(Link from, Object frame) {
                throw new IllegalStateException("as if it had a fault");
            }
        });
        dial(mine);
        run(100);
        mine.link.send(new Word(1, ""));
        run(200);
        assertEquals(List.of("up", "down", "up"), mine.events);
    }

    @Test
    void whatWaitsForAPeerThatIsCutOffIsBounded() {
        listen(theirs);
        LinkDialer dialler = dial(mine);
        run(100);
        simulation.network().vanish(there);
        Link link = dialler.link();
        Word word = new Word(0, "x".repeat(100_000));
        int said = 0;
        while (said < 1_000 && link.send(word)) {
            said++;
            run(1);
        }
        assertTrue(said > 35 && said < 50, "said " + said);
        assertFalse(link.isOpen());
        run(10);
        assertEquals(List.of("up", "down"), mine.events);
    }

    @Test
    void anAddressThatIsTakenIsWaitedFor() {
        LinkListener first = listen(theirs);
        run(50);
        Heard second = new Heard();
        new LinkListener(simulation.machine(there), answers, new Address("10.0.0.2", PORT), second);
        run(500);
        first.close();
        run(200);
        dial(mine);
        run(200);
        assertEquals(List.of("up"), second.events);
    }

    @Test
    void aFrameOvertakesAllBulkFramesButOne() {
        listen(theirs);
        LinkDialer dialler = dial(mine);
        run(100);
        simulation.network().rate(here, 100_000);
        simulation.network().window(1_000);
        for (int i = 0; i < 20; i++) {
            assertTrue(dialler.sendBulk(new Word(i, "x".repeat(10_000))));
        }
        run(150);
        dialler.send(new Word(100, "before"));
        run(3_000);
        List<Integer> numbers =
                theirs.frames.stream().map(frame -> ((Word) frame).number()).toList();
        int place = numbers.indexOf(100);
        assertTrue(place >= 1 && place <= 3, numbers.toString());
        assertEquals(
                IntStream.range(0, 20).boxed().toList(),
                numbers.stream().filter(number -> number < 100).toList());
        assertEquals(0, dialler.link().pendingByteCount());
    }

    @Test
    void bulkFramesForAPeerThatIsCutOffAreDroppedAndTheLinkStays() {
        listen(theirs);
        LinkDialer dialler = dial(mine);
        run(100);
        simulation.network().vanish(there);
        Link link = dialler.link();
        Word word = new Word(0, "x".repeat(50_000));
        int said = 0;
        while (said < 1_000 && link.sendBulk(word)) {
            said++;
            run(1);
        }
        assertTrue(said * 50_000 <= Link.MAX_PENDING_BULK_BYTES + 300_000, "said " + said);
        assertTrue(link.isOpen());
        link.close("enough");
        run(10);
        assertEquals(0, link.pendingByteCount());
    }
}
