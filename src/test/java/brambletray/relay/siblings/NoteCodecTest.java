package brambletray.relay.siblings;

import static org.junit.jupiter.api.Assertions.*;

import brambletray.relay.recovery.Account;
import brambletray.relay.recovery.Standing;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class NoteCodecTest {
    private static final byte[] KEY = "0123456789abcdef".getBytes();
    private static final List<Note> NOTES = List.of(
            new Note.Beat("r-1", new Standing(-7, 3, 9), 12),
            new Note.Ask("r-2", -5),
            new Note.Tell("r-3", 5, new Account.Seen(new Standing(1, 2, 3), 4, 5)),
            new Note.Tell("r-3", 5, new Account.Never(77)));
    private final NoteCodec codec = new NoteCodec("north", KEY);

    @Test
    void eachSortComesBackAsItWas() throws IOException {
        for (Note note : NOTES) {
            byte[] bytes = codec.bytes(note);
            assertTrue(bytes.length <= NoteCodec.MOST);
            assertEquals(note, codec.read(bytes));
        }
        String longest = "x".repeat(NoteCodec.NAME_MOST);
        Note note = new Note.Tell(longest, 5, new Account.Seen(new Standing(1, 2, 3), 4, 5));
        assertTrue(new NoteCodec(longest, KEY).bytes(note).length <= NoteCodec.MOST);
    }

    /** Every bit counts, and so does every byte that is missing. */
    @Test
    void aNoteThatWasChangedIsLeftOut() {
        for (Note note : NOTES) {
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
        byte[] bytes = new NoteCodec("south", KEY).bytes(NOTES.get(0));
        assertEquals(
                "a note of cluster 'south', this is 'north'",
                assertThrows(IOException.class, () -> codec.read(bytes)).getMessage());
        byte[] forged = new NoteCodec("north", "fedcba9876543210".getBytes()).bytes(NOTES.get(0));
        assertEquals(
                "a note whose keyed hash does not fit",
                assertThrows(IOException.class, () -> codec.read(forged)).getMessage());
    }
}
