package brambletray.relay.handover;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.control.Control;
import brambletray.relay.control.Memory;
import brambletray.relay.control.Relay;
import brambletray.relay.control.Relay.Accepted;
import brambletray.relay.control.Relay.Action;
import brambletray.relay.control.Relay.Allowed;
import brambletray.relay.control.Relay.AttemptEnded;
import brambletray.relay.control.Relay.Effect;
import brambletray.relay.control.Relay.Endpoint;
import brambletray.relay.control.Relay.EndpointExclusion;
import brambletray.relay.control.Relay.EndpointsListed;
import brambletray.relay.control.Relay.Event;
import brambletray.relay.control.Relay.Kind;
import brambletray.relay.control.Relay.ListKind;
import brambletray.relay.control.Relay.Listing;
import brambletray.relay.control.Relay.MessageClass;
import brambletray.relay.control.Relay.Outcome;
import brambletray.relay.control.Relay.Prices;
import brambletray.relay.control.Relay.Rules;
import brambletray.relay.control.Relay.Send;
import brambletray.relay.control.Relay.Settings;
import brambletray.relay.control.Relay.Tenant;
import brambletray.relay.control.Relay.TimerFired;
import brambletray.relay.control.Relay.Weights;
import brambletray.relay.core.CallReply;
import brambletray.relay.core.HandoverState;
import brambletray.relay.message.Body;
import brambletray.relay.message.Message;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.ObjectOutputStream;
import java.net.URL;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** What two processes tell one another, over any cut of the stream; and what is refused. */
class HandoverCodecTest {
    private static final long S = 1_000_000;

    private static final Settings SETTINGS = new Settings(
            0,
            2,
            0,
            false,
            0.2,
            Weights.NOMINAL,
            List.of(
                    new MessageClass("a", S, 5 * S, 2, 0, Effect.SAFE, false, 0, false),
                    new MessageClass("c", 3 * S, 28 * S, 4, 0.5, Effect.UNSAFE, false, 0, true)),
            List.of(new Tenant("t", 50)),
            List.of(new Kind(true, 1)),
            new Allowed(4, 100, 8, true, true, 1, S, 10 * S, 3 * S),
            new Rules(250_000, 2.5, 3 * S, 0.15, 10 * S, 50_000, 20_000),
            new Prices(0.05, 0.06, 0, 0.05, List.of()));

    private static final List<HandoverFrame> FRAMES = List.of(
            new HandoverFrame.Hello(1, "digest"),
            new HandoverFrame.Welcome(true, 3),
            new HandoverFrame.TurnedAway("no"),
            new HandoverFrame.Answered(5, HandoverFrame.Met.REFUSED, 1_000),
            new HandoverFrame.Withdraw("id"),
            new HandoverFrame.Exclude(9, "s-1", true),
            new HandoverFrame.Told(9, 404, "none"),
            new HandoverFrame.Drained(true),
            new HandoverFrame.Owner(false),
            new HandoverFrame.Declined(),
            new HandoverFrame.Kept(),
            new HandoverFrame.Ended("a", 2, "s-1", new CallReply(Outcome.FULL, false, 5, 6, 0.5, 20, true)),
            new HandoverFrame.Cancel("a", 1),
            new HandoverFrame.TakeBack("s-1"));

    private static ByteBuf bytes(HandoverFrame... frames) {
        EmbeddedChannel out = new EmbeddedChannel(new HandoverFrameCodec());
        for (HandoverFrame frame : frames) {
            out.writeOutbound(frame);
        }
        ByteBuf all = Unpooled.buffer();
        for (ByteBuf part = out.readOutbound(); part != null; part = out.readOutbound()) {
            all.writeBytes(part);
        }
        return all;
    }

    @Test
    void framesArriveWholeHoweverTheStreamIsCut() {
        ByteBuf all = bytes(FRAMES.toArray(HandoverFrame[]::new));
        EmbeddedChannel in = new EmbeddedChannel(new HandoverFrameCodec());
        while (all.isReadable()) {
            in.writeInbound(all.readBytes(1));
        }
        for (HandoverFrame frame : FRAMES) {
            assertEquals(frame, in.readInbound());
        }
        assertNull(in.readInbound());
    }

    @Test
    void aMessageAndTheStateArriveAsTheyWere() throws IOException {
        Message m = new Message("a", "bill", 2, null, "key", 7, 123, Body.of(new byte[] {0, 1, -1}));
        HandoverFrame.State state = new HandoverFrame.State(
                5,
                6,
                Map.of("s-1", 4_000_000_000L),
                List.of(new HandoverState.CallInFlight("a", 0, "s-1", true)),
                new byte[] {1, 2, 3});
        EmbeddedChannel in = new EmbeddedChannel(new HandoverFrameCodec());
        in.writeInbound(bytes(new HandoverFrame.Submit(4, m), state));
        HandoverFrame.Submit submit = in.readInbound();
        assertTrue(submit.message().sameAs(m));
        assertEquals(123, submit.message().deadline());
        assertNull(submit.message().routeKey());
        HandoverFrame.State read = in.readInbound();
        assertEquals(state.numbers(), read.numbers());
        assertEquals(state.outs(), read.outs());
        assertArrayEquals(state.memory(), read.memory());
    }

    /** Guards both processes against whatever else connects, or goes wrong on the way: an error, never a hang. */
    @Test
    void spoiltFramesEndTheConnection() {
        Random random = new Random(7);
        for (HandoverFrame frame : FRAMES) {
            for (int round = 0; round < 200; round++) {
                ByteBuf spoilt = bytes(frame);
                spoilt.setByte(random.nextInt(spoilt.readableBytes()), random.nextInt(256));
                EmbeddedChannel in = new EmbeddedChannel(new HandoverFrameCodec());
                try {
                    in.writeInbound(spoilt);
                } catch (Exception e) {
                    continue;
                }
                assertTrue(in.inboundMessages().size() <= 1);
            }
        }
        EmbeddedChannel in = new EmbeddedChannel(new HandoverFrameCodec());
        assertThrows(Exception.class, () -> in.writeInbound(Unpooled.buffer().writeInt(Integer.MAX_VALUE)));
        EmbeddedChannel longer = new EmbeddedChannel(new HandoverFrameCodec());
        assertThrows(
                Exception.class,
                () -> longer.writeInbound(
                        Unpooled.buffer().writeInt(2).writeByte(12).writeByte(0)));
    }

    /** A module with messages waiting, out and over, a wait, an outage and a host taken out. */
    private static Control busy() {
        Control control = new Control(1, SETTINGS);
        control.turn(
                0,
                List.of(
                        new EndpointsListed(
                                ListKind.FULL,
                                List.of(
                                        new Endpoint(1, 0, 0, 1, Listing.READY, 50),
                                        new Endpoint(2, 0, 0, 2, Listing.READY, 50),
                                        new Endpoint(3, 0, 0, 3, Listing.READY, 50))),
                        new EndpointExclusion(3, true)));
        for (int i = 0; i < 30; i++) {
            control.turn(i * 1_000L, List.of(new Accepted("m" + i, i % 2, 0, "k" + i % 3, 5 * S, 1 + i % 3)));
        }
        control.turn(40_000, List.of(new AttemptEnded("m0", 0, 1, Outcome.OK, true, 0, 30_000, 0.5, 40)));
        control.turn(50_000, List.of(new AttemptEnded("m1", 0, 2, Outcome.FULL, false, 2 * S, 30_000, 0, 40)));
        return control;
    }

    /** Guards all that limits and rules know: the next process decides what this one would have. */
    @Test
    void amoduleThatGoesOnDecidesAsTheOneBefore() throws IOException {
        for (int step = 0; step < 20; step++) {
            byte[] left = MemoryCodec.encode(busy().memory());
            Control stayed = new Control(9, SETTINGS, MemoryCodec.decode(left));
            Control moved = new Control(
                    9,
                    SETTINGS,
                    MemoryCodec.decode(
                            MemoryCodec.encode(new Control(9, SETTINGS, MemoryCodec.decode(left)).memory())));
            long at = 60_000 + step * 150_000L;
            List<Event> events = List.of(new TimerFired(), new Accepted("n", 0, 0, null, 8 * S, 1));
            assertEquals(stayed.turn(at, events), moved.turn(at, events));
            assertEquals(stayed.unavailableEndpointCount(), moved.unavailableEndpointCount());
        }
        Memory memory = MemoryCodec.decode(MemoryCodec.encode(busy().memory()));
        Control next = new Control(9, SETTINGS, memory);
        assertEquals(1, next.unavailableEndpointCount());
        // The wait told to the one before binds the next; the host taken out gets nothing.
        for (long at = 100_000; at < 2 * S; at += 50_000) {
            for (Action a : next.turn(at, List.of(new TimerFired()))) {
                if (a instanceof Send send) {
                    assertEquals(1, send.endpoint(), "inside the wait, or taken out");
                }
            }
        }
    }

    @Test
    void whatIsNotWholeOrNotOfThisVersionIsRefused() throws IOException {
        byte[] good = MemoryCodec.encode(busy().memory());
        assertEquals(30 - 1, MemoryCodec.decode(good).openMessageAttemptCounts().size());
        Random random = new Random(3);
        for (int round = 0; round < 300; round++) {
            byte[] spoilt = good.clone();
            int at = random.nextInt(spoilt.length);
            spoilt[at] ^= (byte) (1 + random.nextInt(255));
            assertThrows(IOException.class, () -> MemoryCodec.decode(spoilt));
            byte[] cut = java.util.Arrays.copyOf(good, random.nextInt(good.length));
            assertThrows(IOException.class, () -> MemoryCodec.decode(cut));
        }
        byte[] other = good.clone();
        ByteBuffer.wrap(other).putLong(8, Memory.VERSION + 1);
        assertThrows(IOException.class, () -> MemoryCodec.decode(other));
    }

    /** Whoever got hold of the secret brings in no class of other kinds. */
    @Test
    void onlyWhatBelongsThereIsReadAtAll() throws IOException {
        for (Object foreign : List.of(new URL("http://example.org/"), new int[2 << 20], new HashSet<>(List.of(1.5)))) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(new byte[20]);
            try (ObjectOutputStream out = new ObjectOutputStream(bytes)) {
                out.writeObject(foreign);
            }
            byte[] all = bytes.toByteArray();
            CRC32C crc = new CRC32C();
            crc.update(all, 20, all.length - 20);
            ByteBuffer.wrap(all)
                    .putLong(0x4252545354415445L)
                    .putLong(Memory.VERSION)
                    .putInt((int) crc.getValue());
            assertThrows(IOException.class, () -> MemoryCodec.decode(all));
        }
    }

    @Test
    void settingsThatMeanSomethingElseAreToldApart() {
        Settings other = new Settings(
                0,
                3,
                0,
                false,
                0.2,
                Weights.NOMINAL,
                SETTINGS.classes(),
                SETTINGS.tenants(),
                SETTINGS.kinds(),
                SETTINGS.allowed(),
                SETTINGS.rules(),
                SETTINGS.prices());
        assertNotEquals(MemoryCodec.digest(SETTINGS), MemoryCodec.digest(other));
        assertEquals(MemoryCodec.digest(SETTINGS), MemoryCodec.digest(SETTINGS));
        assertNotNull(Relay.Outcome.valueOf("OK"));
    }
}
