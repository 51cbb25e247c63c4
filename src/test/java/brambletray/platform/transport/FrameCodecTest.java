package brambletray.platform.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class FrameCodecTest {
    private static final int SEED = 4_711;

    enum Colour {
        RED,
        GREEN
    }

    sealed interface Shape {
        record Dot(int x) implements Shape {}

        record Row(List<Dot> dots, Shape last) implements Shape {}
    }

    record Inner(String name, long life) {}

    record All(
            long a,
            int b,
            boolean c,
            double d,
            String e,
            Colour f,
            Inner g,
            List<Inner> h,
            List<String> i,
            List<List<Long>> j,
            Object k) {}

    record Blob(String name, byte[] bytes) {}

    record Stranger(int a) {}

    private final FrameCodec speech = new FrameCodec(List.of(List.of(All.class, Blob.class, Shape.class)));

    private static final All FULL = new All(
            Long.MIN_VALUE,
            -7,
            true,
            0.25,
            "grün \u20ac",
            Colour.GREEN,
            new Inner("x", 3),
            List.of(new Inner("y", -1), new Inner(null, Long.MAX_VALUE)),
            List.of("", "z"),
            List.of(List.of(1L, 2L), List.of()),
            new Inner("k", 0));

    @Test
    void whatIsSaidIsHeard() {
        assertEquals(FULL, speech.roundTrip(FULL));
        All none = new All(0, 0, false, 0, null, null, null, null, List.of(), null, null);
        assertEquals(none, speech.roundTrip(none));
        Shape row = new Shape.Row(List.of(new Shape.Dot(1)), new Shape.Row(List.of(), null));
        assertEquals(row, speech.roundTrip(row));
        Blob blob = (Blob) speech.roundTrip(new Blob("b", new byte[] {1, 2, 3}));
        assertArrayEquals(new byte[] {1, 2, 3}, blob.bytes());
    }

    @Test
    void listsOfAnyMakeAreHeardAsEqualLists() {
        List<String> names = new ArrayList<>(List.of("a", "b"));
        for (List<String> list : List.of(
                names,
                names.subList(0, 1),
                Arrays.asList("q"),
                List.<String>of(),
                Stream.of("s").toList())) {
            All all = new All(0, 0, false, 0, "", Colour.RED, null, List.of(), list, List.of(), list);
            assertEquals(all, speech.roundTrip(all));
        }
    }

    @Test
    void whatIsNotRegisteredIsNotSaidAndLeavesNoBytes() {
        ByteBuf out = Unpooled.buffer();
        assertEquals(
                "transport.unwritable",
                assertThrows(TransportException.class, () -> speech.write(new Stranger(1), out))
                        .code());
        assertEquals(
                "transport.unwritable",
                assertThrows(
                                TransportException.class,
                                () -> speech.write(new Blob("", new byte[FrameCodec.MAX_FRAME_BYTES]), out))
                        .code());
        assertEquals(0, out.readableBytes());
        assertEquals(FULL, speech.roundTrip(FULL));
    }

    @Test
    void bytesThatAreNoFrameAreAFaultAndNoMore() {
        ByteBuf good = Unpooled.buffer();
        speech.write(FULL, good);
        good.skipBytes(FrameCodec.LENGTH_BYTES);
        byte[] bytes = new byte[good.readableBytes()];
        good.readBytes(bytes);
        Random random = new Random(SEED);
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = Arrays.copyOf(bytes, i % 2 == 0 ? bytes.length : random.nextInt(bytes.length));
            for (int j = random.nextInt(4); j >= 0 && bad.length > 0; j--) {
                bad[random.nextInt(bad.length)] = (byte) random.nextInt();
            }
            try {
                speech.read(Unpooled.wrappedBuffer(bad), bad.length);
                read++;
            } catch (TransportException e) {
                assertEquals("transport.unreadable", e.code());
            }
        }
        assertTrue(read < 20_000, "seed " + SEED);
        assertEquals(FULL, speech.roundTrip(FULL));
    }

    @Test
    void anotherLayoutHasAnotherFingerprint() {
        assertEquals(
                speech.fingerprint(),
                new FrameCodec(List.of(List.of(All.class), List.of(Blob.class, Shape.class))).fingerprint());
        assertNotEquals(
                speech.fingerprint(),
                new FrameCodec(List.of(List.of(Blob.class, All.class, Shape.class))).fingerprint());
        assertNotEquals(speech.fingerprint(), new FrameCodec(List.of(List.of(All.class, Blob.class))).fingerprint());
    }
}
