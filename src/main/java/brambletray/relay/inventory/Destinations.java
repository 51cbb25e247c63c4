package brambletray.relay.inventory;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Destinations by number, and by name: a name always stands for the same number, whatever else is listed. */
public final class Destinations {
    /** Numbers that stand for names lie above all that a file may give as numbers. */
    private static final long NAMED = 1L << 40;

    static final long NUMBER_MOST = Integer.MAX_VALUE;

    private Destinations() {}

    /** A number, or the number of a name; -1 for a text that is neither. */
    public static long number(String text) {
        if (text.matches("[0-9]{1,13}")) {
            // What stands for a name may be given as its number, too: so it is written by convert.
            long number = Long.parseLong(text);
            return number <= NUMBER_MOST || number >= NAMED && number < NAMED + (1L << 32) ? number : -1;
        }
        if (!text.matches("[A-Za-z][A-Za-z0-9._-]{0,99}")) {
            return -1;
        }
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return NAMED + crc.getValue();
    }
}
