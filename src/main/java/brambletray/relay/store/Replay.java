package brambletray.relay.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads a store's segments in order, and tells torn tails from holes. It writes nothing, so that a look at a
 * store and its recovery see the same.
 */
final class Replay {
    /** Takes what is read. */
    interface Reader {
        /** A record; {@code at}: offset of its value in the segment's file. */
        void record(long sequence, Manifest.Entry segment, byte sort, byte space, long key, int at, int length);

        /** Records that were acknowledged may be missing here: all that was told before is doubtful. */
        void hole();
    }

    private final Disk disk;
    private final Manifest manifest;
    private final Reader reader;
    private final List<Damage> damages = new ArrayList<>();
    private long expected;
    private long tail;
    private long frames;
    private long records;

    Replay(Disk disk, Manifest manifest, Reader reader) {
        this.disk = disk;
        this.manifest = manifest;
        this.reader = reader;
    }

    /** What was found, in the order of the files. */
    List<Damage> damages() {
        return damages;
    }

    /** The sequence that the next batch has. */
    long next() {
        return expected;
    }

    /** How far the last segment is good. */
    long tail() {
        return tail;
    }

    long frames() {
        return frames;
    }

    long records() {
        return records;
    }

    void run() throws IOException {
        expected = manifest.segments().get(0).first();
        for (int i = 0; i < manifest.segments().size(); i++) {
            Manifest.Entry segment = manifest.segments().get(i);
            if (segment.first() > expected) {
                hole(segment, 0, "records " + expected + " to " + (segment.first() - 1) + " are missing before it");
                expected = segment.first();
            }
            segment(segment, i == manifest.segments().size() - 1);
        }
        byte[] mark = new byte[0];
        if (disk.exists(Layout.MARK)) {
            Disk.File file = disk.open(Layout.MARK, false);
            mark = file.read(0, 2 * Layout.MARK_SLOT);
            file.close();
        }
        long marked = Layout.readMark(mark, manifest.store());
        if (marked < 0) {
            damage(
                    Layout.MARK,
                    0,
                    Damage.Kind.HOLE,
                    "neither slot checks: whether the last records are here is" + " not known");
            reader.hole();
        } else if (marked >= expected) {
            damage(
                    Layout.segmentName(last().segment()),
                    tail,
                    Damage.Kind.HOLE,
                    "ends with record " + (expected - 1) + ", but " + marked + " was acknowledged");
            reader.hole();
            expected = marked + 1;
        }
    }

    private Manifest.Entry last() {
        return manifest.segments().get(manifest.segments().size() - 1);
    }

    private void damage(String file, long at, Damage.Kind kind, String cause) {
        damages.add(new Damage(file, at, kind, cause));
    }

    private void hole(Manifest.Entry segment, long at, String cause) {
        damage(Layout.segmentName(segment.segment()), at, Damage.Kind.HOLE, cause);
        reader.hole();
    }

    private void segment(Manifest.Entry segment, boolean last) throws IOException {
        String name = Layout.segmentName(segment.segment());
        tail = Layout.SEGMENT_HEAD;
        if (!disk.exists(name)) {
            hole(segment, 0, "the segment is missing");
            return;
        }
        Disk.File file = disk.open(name, false);
        byte[] all;
        try {
            // Behind its sealed end stands at most what a failed write or sync left, never acknowledged.
            long end = segment.sealed() >= 0 ? Math.min(segment.sealed(), file.size()) : file.size();
            all = file.read(0, (int) Math.min(Integer.MAX_VALUE - 16L, end));
        } finally {
            file.close();
        }
        byte[] head = Layout.segmentHead(manifest.store(), segment.segment(), segment.first());
        if (all.length < head.length || !Arrays.equals(head, 0, head.length, all, 0, head.length)) {
            // Frames name their segment in their checksums: those that check are this segment's all the same.
            damage(
                    name,
                    0,
                    Damage.Kind.HARMLESS,
                    all.length < head.length
                            ? "the head is cut"
                            : "the head is not this segment's: altered, or another segment's file");
        }
        int at = Layout.SEGMENT_HEAD;
        while (at < all.length) {
            int length = frame(segment, all, at);
            if (length > 0) {
                at += length;
                tail = at;
                continue;
            }
            int found = resume(segment, all, at);
            if (found < 0) {
                break;
            }
            long sequence = ByteBuffer.wrap(all).getLong(found + Layout.FRAME_HEAD);
            long safe = ByteBuffer.wrap(all).getLong(found + Layout.FRAME_HEAD + 8);
            if (last && safe < expected) {
                // What is missing had not been synced when this was written, nor had this: none of it counts.
                break;
            }
            if (sequence > expected) {
                hole(segment, at, "records " + expected + " to " + (sequence - 1) + " can't be read");
            } else {
                damage(name, at, Damage.Kind.HARMLESS, (found - at) + " bytes between two good records");
            }
            expected = Math.max(expected, sequence);
            at = found;
        }
        long end = segment.sealed() >= 0 ? segment.sealed() : all.length;
        if (segment.sealed() >= 0 && at < segment.sealed()) {
            long missing = end - at;
            damage(name, at, Damage.Kind.HARMLESS, "the last " + missing + " bytes can't be read or are missing");
        } else if (at < all.length && last) {
            damage(name, at, Damage.Kind.TORN_TAIL, "the last " + (all.length - at) + " bytes are no whole record");
        }
    }

    /** The next place behind {@code at} where a frame stands that can follow; -1 if there is none. */
    private int resume(Manifest.Entry segment, byte[] all, int at) {
        for (int next = at + 1; next + Layout.FRAME_HEAD + Layout.FRAME_FIXED <= all.length; next++) {
            if (checks(segment, all, next) > 0) {
                return next;
            }
        }
        return -1;
    }

    /** Length of the frame that stands there and checks; 0 if none does. */
    private int checks(Manifest.Entry segment, byte[] all, int at) {
        ByteBuffer in = ByteBuffer.wrap(all);
        if (at + Layout.FRAME_HEAD + Layout.FRAME_FIXED > all.length) {
            return 0;
        }
        int length = in.getInt(at);
        if (length < Layout.FRAME_FIXED || length > Layout.FRAME_MOST || length > all.length - at - Layout.FRAME_HEAD) {
            return 0;
        }
        int crc = Layout.frameCrc(manifest.store(), segment.segment(), all, at + Layout.FRAME_HEAD, length);
        if (in.getInt(at + 4) != crc) {
            return 0;
        }
        // An older frame over a newer one: a block that was written twice.
        return in.getLong(at + Layout.FRAME_HEAD) < expected ? 0 : Layout.FRAME_HEAD + length;
    }

    /** Tells the records of the frame that stands there and comes next; its length, or 0. */
    private int frame(Manifest.Entry segment, byte[] all, int at) {
        int length = checks(segment, all, at);
        if (length == 0) {
            return 0;
        }
        ByteBuffer in = ByteBuffer.wrap(all, at + Layout.FRAME_HEAD, length - Layout.FRAME_HEAD);
        long sequence = in.getLong();
        long safe = in.getLong();
        if (sequence > expected) {
            if (safe < expected && segment.sealed() < 0) {
                return 0;
            }
            hole(segment, at, "records " + expected + " to " + (sequence - 1) + " are missing");
        }
        while (in.remaining() >= Layout.RECORD_HEAD) {
            byte sort = in.get();
            byte space = in.get();
            long key = in.getLong();
            int size = in.getInt();
            reader.record(sequence, segment, sort, space, key, in.position(), size);
            in.position(in.position() + size);
            records++;
        }
        frames++;
        expected = sequence + 1;
        return length;
    }
}
