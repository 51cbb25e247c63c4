package brambletray.relay.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Which segments there are, the oldest first. */
record Manifest(long store, long nextSegment, List<Entry> segments) {
    /** {@code sealed}: its length when the next one was begun; -1 while it is written to. */
    record Entry(long segment, long first, long sealed) {}

    private static final int FIXED = 32;
    private static final int EACH = 24;
    private static final int SEGMENTS_MOST = 1_000_000;

    byte[] bytes() {
        ByteBuffer out = ByteBuffer.allocate(FIXED + EACH * segments.size() + 4)
                .put(Layout.MANIFEST_MAGIC)
                .putInt(Layout.FORMAT)
                .putLong(store)
                .putLong(nextSegment)
                .putInt(segments.size());
        for (Entry entry : segments) {
            out.putLong(entry.segment()).putLong(entry.first()).putLong(entry.sealed());
        }
        return out.putInt(Layout.crc(out.array(), 0, out.position())).array();
    }

    /** Reads it; throws with the cause if it cannot be trusted. */
    static Manifest read(byte[] bytes) throws UntrustedStore {
        if (bytes.length < FIXED + 4) {
            throw new UntrustedStore("MANIFEST has " + bytes.length + " bytes, too few to be one");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        byte[] magic = new byte[8];
        in.get(magic);
        if (!Arrays.equals(magic, Layout.MANIFEST_MAGIC)) {
            throw new UntrustedStore("MANIFEST is not one: it begins with other bytes");
        }
        if (in.getInt(bytes.length - 4) != Layout.crc(bytes, 0, bytes.length - 4)) {
            throw new UntrustedStore("MANIFEST does not check");
        }
        int format = in.getInt();
        if (format != Layout.FORMAT) {
            throw new UntrustedStore("MANIFEST has format " + format + ", known is " + Layout.FORMAT);
        }
        long store = in.getLong();
        long next = in.getLong();
        int count = in.getInt();
        if (count < 1 || count > SEGMENTS_MOST || bytes.length != FIXED + EACH * count + 4) {
            throw new UntrustedStore("MANIFEST names " + count + " segments in " + bytes.length + " bytes");
        }
        List<Entry> segments = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            segments.add(new Entry(in.getLong(), in.getLong(), in.getLong()));
        }
        return new Manifest(store, next, segments);
    }
}
