package brambletray.relay.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The form of the files. All numbers are big-endian.
 *
 * <pre>
 * segment   head (40): magic 8, format 4, store 8, segment 8, first sequence 8, CRC-32C of those 4; then
 * frames frame     length of what follows the checksum 4, CRC-32C 4, sequence 8, sequence that was safe 8,
 * records record    sort 1, space 1, key 8, length 4, value MARK      two slots of 32: sequence 8, store 8,
 * CRC-32C 4, 12 unused; the slot is the sequence's last bit MANIFEST  magic 8, format 4, store 8, next
 * segment 8, count 4, for each segment: segment 8, first sequence 8,
 *           length when it was sealed or -1 8; CRC-32C 4
 * </pre>
 *
 * The checksum of a frame is begun with the store's and the segment's numbers: bytes of another store, of
 * another segment, or a frame that somebody put into a message's body, do not check.
 */
final class Layout {
    static final int FORMAT = 1;
    static final byte[] SEGMENT_MAGIC = "BRTSEG\r\n".getBytes(StandardCharsets.US_ASCII);
    static final byte[] MANIFEST_MAGIC = "BRTMAN\r\n".getBytes(StandardCharsets.US_ASCII);
    static final int SEGMENT_HEAD = 40;
    static final int FRAME_HEAD = 8;
    static final int FRAME_FIXED = 16;
    static final int RECORD_HEAD = 14;
    /** Of a frame's length; a larger one is damage. */
    static final int FRAME_MOST = 64 << 20;

    static final int MARK_SLOT = 32;
    static final String MANIFEST = "MANIFEST";
    static final String FRESH_MANIFEST = "MANIFEST.new";
    static final String MARK = "MARK";
    static final String LOCK = "LOCK";
    /** Sorts of records: begins a key's chain anew; goes behind it; ends it; marks it as doubtful. */
    static final byte PUT = 1;

    static final byte APPEND = 2;
    static final byte DELETE = 3;
    static final byte DOUBT = 4;

    private Layout() {}

    static String segmentName(long id) {
        return String.format("seg-%010d", id);
    }

    static boolean isSegment(String name) {
        return name.matches("seg-[0-9]{10,19}");
    }

    static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** {@code bytes}: what follows the checksum. */
    static int frameCrc(long store, long segment, byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(20)
                .putLong(store)
                .putLong(segment)
                .putInt(length)
                .flip());
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    static byte[] segmentHead(long store, long segment, long first) {
        ByteBuffer head = ByteBuffer.allocate(SEGMENT_HEAD)
                .put(SEGMENT_MAGIC)
                .putInt(FORMAT)
                .putLong(store)
                .putLong(segment)
                .putLong(first);
        return head.putInt(crc(head.array(), 0, SEGMENT_HEAD - 4)).array();
    }

    static byte[] mark(long store, long sequence) {
        ByteBuffer slot = ByteBuffer.allocate(MARK_SLOT).putLong(sequence).putLong(store);
        return slot.putInt(crc(slot.array(), 0, 16)).array();
    }

    /** The latest sequence that MARK names; -1 if neither slot checks. */
    static long readMark(byte[] bytes, long store) {
        long latest = -1;
        for (int at = 0; at + MARK_SLOT <= bytes.length; at += MARK_SLOT) {
            ByteBuffer slot = ByteBuffer.wrap(bytes, at, MARK_SLOT);
            long sequence = slot.getLong();
            if (slot.getLong() == store && slot.getInt() == crc(bytes, at, 16)) {
                latest = Math.max(latest, sequence);
            }
        }
        return latest;
    }
}
