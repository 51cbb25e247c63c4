package brambletray.platform.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Finds the ends of commits in the raw bytes of a generation's files, and truncates the files after one of them. The
 * Xodus log has no checksums: Xodus accepts the last record that looks like a root, even if bytes before it never
 * reached the disk. So a commit that was being synced when the power was lost can look complete. {@link
 * StoreGeneration} detects that by checking the entries, and {@link StoreOpening} then uses this class to truncate it.
 *
 * <p>The log is a sequence of records: a type byte (with its highest bit inverted), a structure id, a length, and that
 * many bytes. Numbers are encoded with seven bits per byte, lowest bits first, and the highest bit set in the last
 * byte. Type 0 is one byte of padding. A root (type 1) ends each commit and contains three numbers, the third of which
 * is the sum of the other two and 199.
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

    /** End addresses of the last commits, newest first; at most {@code maxCount}. */
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

    /** Truncates the log at this address, durably; returns true if anything was removed. */
    boolean truncateAfter(long address) throws IOException {
        Directory directory = segments.directory();
        boolean removed = false;
        boolean truncated = false;
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
                truncated = true;
            }
        }
        return removed || truncated;
    }

    /** The files up to and including the first incomplete one, or up to a gap: later files belong to no commit. */
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
            long structureId = readNumber(limit);
            long size = readNumber(limit);
            if (type >= TYPE_FLAG || structureId < 0 || size < 0 || size > limit - position) {
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

    /** Reads the number at the current position; -1 if it is incomplete or too long. */
    private long readNumber(int limit) {
        long number = 0;
        for (int shift = 0; position < limit && shift < Long.SIZE - 1; shift += 7) {
            byte nextByte = bytes[position++];
            number |= (long) (nextByte & 0x7f) << shift;
            if ((nextByte & TYPE_FLAG) != 0) {
                return number;
            }
        }
        return -1;
    }
}
