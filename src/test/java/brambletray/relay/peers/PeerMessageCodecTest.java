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
            new PeerMessage.Beat("r-1", new StoreFreshness(-7, 3, 9), 12),
            new PeerMessage.Ask("r-2", -5),
            new PeerMessage.Tell("r-3", 5, new WitnessReport.Seen(new StoreFreshness(1, 2, 3), 4, 5)),
            new PeerMessage.Tell("r-3", 5, new WitnessReport.Never(77)));
    private final PeerMessageCodec codec = new PeerMessageCodec("north", KEY);

    @Test
    void eachSortComesBackAsItWas() throws IOException {
        for (PeerMessage note : NOTES) {
            byte[] bytes = codec.bytes(note);
            assertTrue(bytes.length <= PeerMessageCodec.MOST);
            assertEquals(note, codec.read(bytes));
        }
        String longest = "x".repeat(PeerMessageCodec.NAME_MOST);
        PeerMessage note = new PeerMessage.Tell(longest, 5, new WitnessReport.Seen(new StoreFreshness(1, 2, 3), 4, 5));
        assertTrue(new PeerMessageCodec(longest, KEY).bytes(note).length <= PeerMessageCodec.MOST);
    }

    /** Every bit counts, and so does every byte that is missing. */
    @Test
    void aNoteThatWasChangedIsLeftOut() {
        for (PeerMessage note : NOTES) {
            byte[] bytes = codec.bytes(note);
            for (int bit = 0; bit < 8 * bytes.length; bit++) {
                byte[] changed = bytes.clone();
                changed[bit / 8] ^= (byte) (1 << bit % 8);
                assertThrows(IOException.class, () -> codec.read(changed));
            }
            for (int length = 0; length < bytes.length; length++) {
                byte[] cut = java.util.Arrays.copyOf(bytes, length);
                assertThrows(IOException.class, () -> codec.read(cut));
            }
        }
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 1_000; i++) {
            byte[] noise = new byte[random.nextInt(300)];
            random.nextBytes(noise);
            assertThrows(IOException.class, () -> codec.read(noise));
        }
    }

    @Test
    void anotherClusterOrAnotherKeyIsNamed() {
        byte[] bytes = new PeerMessageCodec("south", KEY).bytes(NOTES.get(0));
        assertEquals(
                "a note of cluster 'south', this is 'north'",
                assertThrows(IOException.class, () -> codec.read(bytes)).getMessage());
        byte[] forged = new PeerMessageCodec("north", "fedcba9876543210".getBytes()).bytes(NOTES.get(0));
        assertEquals(
                "a note whose keyed hash does not fit",
                assertThrows(IOException.class, () -> codec.read(forged)).getMessage());
    }
}
