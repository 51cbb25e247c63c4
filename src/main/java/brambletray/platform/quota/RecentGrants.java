package brambletray.platform.quota;

import java.util.ArrayDeque;

/**
 * How many rights of one tenant were granted so lately that they may be returned. More are never taken back, so that
 * what comes late or twice gives nobody a second right. Pure: time comes in as steady ms.
 */
final class RecentGrants {
    /** ms; grants of one slice are counted together. */
    private static final int SLICE_MS = 25;

    private static final class Slice {
        private final long startedAtMs;
        private int count;

        private Slice(long beganAtMs) {
            this.startedAtMs = beganAtMs;
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

    /** Takes back at most so many; how many were. */
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

    /** Rights that were granted so lately and were not returned. */
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
