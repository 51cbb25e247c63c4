package brambletray.relay.peers;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.recovery.StoreFreshness;
import brambletray.relay.recovery.WitnessReport;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PeerMessageCodecTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes();
    private static final List<PeerMessage> NOTES = List.of(
            new PeerMessage.Heartbeat("r-1", new StoreFreshness(-7, 3, 9), 12),
            new PeerMessage.WitnessRequest("r-2", -5),
            new PeerMessage.WitnessResponse("r-3", 5, new WitnessReport.Seen(new StoreFreshness(1, 2, 3), 4, 5)),
            new PeerMessage.WitnessResponse("r-3", 5, new WitnessReport.NotSeen(77)));
    private final PeerMessageCodec codec = new PeerMessageCodec("north", KEY);

    @Test
    void eachSortComesBackAsItWas() throws IOException {
        for (PeerMessage message : NOTES) {
            byte[] bytes = codec.encode(message);
            assertTrue(bytes.length <= PeerMessageCodec.MAX_BYTES);
            assertEquals(message, codec.decode(bytes));
        }
        String longest = "x".repeat(PeerMessageCodec.MAX_NAME_LENGTH);
        PeerMessage message =
                new PeerMessage.WitnessResponse(longest, 5, new WitnessReport.Seen(new StoreFreshness(1, 2, 3), 4, 5));
        assertTrue(new PeerMessageCodec(longest, KEY).encode(message).length <= PeerMessageCodec.MAX_BYTES);
    }

    /** Every bit counts, and so does every byte that is missing. */
    @Test
    void aNoteThatWasChangedIsLeftOut() {
        for (PeerMessage message : NOTES) {
            byte[] bytes = codec.encode(message);
            for (int bit = 0; bit < 8 * bytes.length; bit++) {
                byte[] changed = bytes.clone();
                changed[bit / 8] ^= (byte) (1 << bit % 8);
                assertThrows(IOException.class, () -> codec.decode(changed));
            }
            for (int length = 0; length < bytes.length; length++) {
                byte[] cut = java.util.Arrays.copyOf(bytes, length);
                assertThrows(IOException.class, () -> codec.decode(cut));
            }
        }
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 1_000; i++) {
            byte[] noise = new byte[random.nextInt(300)];
            random.nextBytes(noise);
            assertThrows(IOException.class, () -> codec.decode(noise));
        }
    }

    @Test
    void anotherClusterOrAnotherKeyIsNamed() {
        byte[] bytes = new PeerMessageCodec("south", KEY).encode(NOTES.get(0));
        assertEquals(
                "a note of cluster 'south', this is 'north'",
                assertThrows(IOException.class, () -> codec.decode(bytes)).getMessage());
        byte[] forged = new PeerMessageCodec("north", "fedcba9876543210".getBytes()).encode(NOTES.get(0));
        assertEquals(
                "a note whose keyed hash does not fit",
                assertThrows(IOException.class, () -> codec.decode(forged)).getMessage());
    }
}
