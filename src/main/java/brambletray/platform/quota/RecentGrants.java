package brambletray.platform.quota;

import java.util.ArrayDeque;

/**
 * Counts the rights of one tenant that were granted recently enough to be returned. No more than these are accepted
 * back, so a late or duplicate return does not create a second right. Pure: callers pass the time, as ms of a
 * monotonic clock.
 */
final class RecentGrants {
    /** Grants are counted in slices of this length, ms. */
    private static final int SLICE_MS = 25;

    private static final class Slice {
        private final long startedAtMs;
        private int count;

        private Slice(long startedAtMs) {
            this.startedAtMs = startedAtMs;
        }
    }

    private final ArrayDeque<Slice> slices = new ArrayDeque<>();
    private int total;

    void onGranted(long nowMs) {
        removeOld(nowMs);
        Slice newest = slices.peekLast();
        if (newest == null || nowMs - newest.startedAtMs >= SLICE_MS) {
            newest = new Slice(nowMs);
            slices.add(newest);
        }
        newest.count++;
        total++;
    }

    /** Accepts at most this many rights back and returns how many it accepted. */
    int reclaim(int rights, long nowMs) {
        removeOld(nowMs);
        int left = Math.min(rights, total);
        int taken = left;
        while (left > 0) {
            Slice oldest = slices.peekFirst();
            int part = Math.min(left, oldest.count);
            oldest.count -= part;
            left -= part;
            if (oldest.count == 0) {
                slices.removeFirst();
            }
        }
        total -= taken;
        return taken;
    }

    /** Rights that were granted recently enough to be returned, and have not been. */
    int outstanding(long nowMs) {
        removeOld(nowMs);
        return total;
    }

    private void removeOld(long nowMs) {
        while (!slices.isEmpty() && nowMs - slices.peekFirst().startedAtMs > QuotaParameters.RETURN_VALIDITY_MS) {
            total -= slices.removeFirst().count;
        }
    }
}
