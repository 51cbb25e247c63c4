package brambletray.platform.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Finds where commits end in the files of a generation, by their bytes alone, and cuts off what follows one. Xodus
 * has no checksums in its log: it takes any last root that reads like one, even if bytes before it never reached the
 * disk. So a commit that was being synced when the power went can look complete; {@link StoreGeneration} checks its
 * entries, and has this class cut it off.
 *
 * <p>A log is a row of items: a byte of type (its highest bit turned), a number of a structure, a length, and so many
 * bytes; numbers have seven bits a byte, lowest first, the last byte marked. A zero type is padding of one byte. A
 * root (type 1) ends each commit and holds three numbers, the third the sum of the others and 199.
 */
final class StoreRepair {
    private static final int TYPE_FLAG = 0x80;
    private static final int PADDING_TYPE = 0;
    private static final int ROOT_TYPE = 1;
    private static final long ROOT_CHECK_CONSTANT = 199;

    private final LogSegmentFiles segments;
    private byte[] bytes;
    private int position;
    private int limit;

    StoreRepair(LogSegmentFiles segments) {
        this.segments = segments;
    }

    /** Where the last commits end, the newest first, at most {@code maxCount}. */
    List<Long> commitEnds(int maxCount) throws IOException {
        List<Long> files = contiguousFiles();
        List<Long> ends = new ArrayList<>();
        for (int i = files.size() - 1; i >= 0 && ends.size() < maxCount; i--) {
            Deque<Long> roots = findRoots(files.get(i), maxCount - ends.size());
            while (!roots.isEmpty()) {
                ends.add(roots.removeLast());
            }
        }
        return ends;
    }

    /** Cuts off all behind this address, durably; true if there was anything. */
    boolean truncateAfter(long address) throws IOException {
        Directory directory = segments.directory();
        boolean removed = false;
        boolean cut = false;
        List<Long> files = segments.addresses();
        for (int i = files.size() - 1; i >= 0; i--) {
            long file = files.get(i);
            if (file >= address) {
                directory.remove(segments.fileName(file));
                removed = true;
            }
        }
        if (removed) {
            directory.sync();
        }
        for (long file : files) {
            if (file < address
                    && address < file + LogSegmentFiles.FILE_BYTES
                    && directory.length(segments.fileName(file)) > address - file) {
                directory.truncate(segments.fileName(file), address - file);
                cut = true;
            }
        }
        return removed || cut;
    }

    /** The files up to the first that is short: what comes behind that one belongs to no commit. */
    private List<Long> contiguousFiles() throws IOException {
        List<Long> files = new ArrayList<>();
        long next = -1;
        for (long file : segments.addresses()) {
            if (next >= 0 && file != next) {
                break;
            }
            files.add(file);
            if (segments.directory().length(segments.fileName(file)) < LogSegmentFiles.FILE_BYTES) {
                break;
            }
            next = file + LogSegmentFiles.FILE_BYTES;
        }
        return files;
    }

    private Deque<Long> findRoots(long file, int maxCount) throws IOException {
        int length =
                (int) Math.min(LogSegmentFiles.FILE_BYTES, segments.directory().length(segments.fileName(file)));
        bytes = new byte[length];
        limit = segments.directory().read(segments.fileName(file), 0, bytes, 0, length);
        position = 0;
        Deque<Long> roots = new ArrayDeque<>();
        while (position < limit) {
            int type = (bytes[position++] ^ TYPE_FLAG) & 0xff;
            if (type == PADDING_TYPE) {
                continue;
            }
            long structure = readNumber(limit);
            long size = readNumber(limit);
            if (type >= TYPE_FLAG || structure < 0 || size < 0 || size > limit - position) {
                break;
            }
            int next = position + (int) size;
            if (type == ROOT_TYPE && isValidRoot(next)) {
                roots.addLast(file + next);
                if (roots.size() > maxCount) {
                    roots.removeFirst();
                }
            }
            position = next;
        }
        bytes = null;
        return roots;
    }

    private boolean isValidRoot(int next) {
        long tree = readNumber(next);
        long structures = readNumber(next);
        long sum = readNumber(next);
        return tree >= 0 && structures >= 0 && sum == tree + structures + ROOT_CHECK_CONSTANT;
    }

    /** The number at the position, or -1 if there is none. */
    private long readNumber(int limit) {
        long number = 0;
        for (int shift = 0; position < limit && shift < Long.SIZE - 1; shift += 7) {
            byte one = bytes[position++];
            number |= (long) (one & 0x7f) << shift;
            if ((one & TYPE_FLAG) != 0) {
                return number;
            }
        }
        return -1;
    }
}
