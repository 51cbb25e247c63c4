package brambletray.platform.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Finds where commits end on a tape, by its bytes alone, and cuts off what lies behind one. Xodus has no sums in its
 * log: it takes any last root that reads like one, even if bytes before it never reached the disk. So a commit that was
 * being synced when the power went can look whole; {@link StoreGeneration} checks what is in it, and has this cut it
 * off.
 *
 * <p>A log is a row of items: a byte of type (its highest bit turned), a number of a structure, a length, and so many
 * bytes; numbers have seven bits a byte, lowest first, the last byte marked. A zero type is padding of one byte. A root
 * (type 1) ends each commit and holds three numbers, the third the sum of the others and 199.
 */
final class StoreRepair {
    private static final int TURN = 0x80;
    private static final int NULL = 0;
    private static final int ROOT = 1;
    private static final long ROOT_SUM = 199;

    private final LogSegmentFile segment;
    private byte[] bytes;
    private int at;
    private int end;

    StoreRepair(LogSegmentFile segment) {
        this.segment = segment;
    }

    /** Where the last commits end, the newest first, at most {@code most}. */
    List<Long> ends(int most) throws IOException {
        List<Long> whole = whole();
        List<Long> ends = new ArrayList<>();
        for (int i = whole.size() - 1; i >= 0 && ends.size() < most; i--) {
            Deque<Long> roots = roots(whole.get(i), most - ends.size());
            while (!roots.isEmpty()) {
                ends.add(roots.removeLast());
            }
        }
        return ends;
    }

    /** Cuts off all behind this address, durably; true if there was anything. */
    boolean cut(long address) throws IOException {
        Directory directory = segment.directory();
        boolean removed = false;
        boolean cut = false;
        List<Long> files = segment.addresses();
        for (int i = files.size() - 1; i >= 0; i--) {
            long file = files.get(i);
            if (file >= address) {
                directory.remove(segment.name(file));
                removed = true;
            }
        }
        if (removed) {
            directory.sync();
        }
        for (long file : files) {
            if (file < address
                    && address < file + LogSegmentFile.FILE_BYTES
                    && directory.length(segment.name(file)) > address - file) {
                directory.cut(segment.name(file), address - file);
                cut = true;
            }
        }
        return removed || cut;
    }

    /** The files up to the first that is short: what comes behind that one belongs to no commit. */
    private List<Long> whole() throws IOException {
        List<Long> whole = new ArrayList<>();
        long next = -1;
        for (long file : segment.addresses()) {
            if (next >= 0 && file != next) {
                break;
            }
            whole.add(file);
            if (segment.directory().length(segment.name(file)) < LogSegmentFile.FILE_BYTES) {
                break;
            }
            next = file + LogSegmentFile.FILE_BYTES;
        }
        return whole;
    }

    private Deque<Long> roots(long file, int most) throws IOException {
        int length =
                (int) Math.min(LogSegmentFile.FILE_BYTES, segment.directory().length(segment.name(file)));
        bytes = new byte[length];
        end = segment.directory().read(segment.name(file), 0, bytes, 0, length);
        at = 0;
        Deque<Long> roots = new ArrayDeque<>();
        while (at < end) {
            int type = (bytes[at++] ^ TURN) & 0xff;
            if (type == NULL) {
                continue;
            }
            long structure = number(end);
            long size = number(end);
            if (type >= TURN || structure < 0 || size < 0 || size > end - at) {
                break;
            }
            int next = at + (int) size;
            if (type == ROOT && root(next)) {
                roots.addLast(file + next);
                if (roots.size() > most) {
                    roots.removeFirst();
                }
            }
            at = next;
        }
        bytes = null;
        return roots;
    }

    private boolean root(int next) {
        long tree = number(next);
        long structures = number(next);
        long sum = number(next);
        return tree >= 0 && structures >= 0 && sum == tree + structures + ROOT_SUM;
    }

    /** The number at this place, or -1 if there is none. */
    private long number(int limit) {
        long number = 0;
        for (int shift = 0; at < limit && shift < Long.SIZE - 1; shift += 7) {
            byte one = bytes[at++];
            number |= (long) (one & 0x7f) << shift;
            if ((one & TURN) != 0) {
                return number;
            }
        }
        return -1;
    }
}
