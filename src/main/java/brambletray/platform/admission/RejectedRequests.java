package brambletray.platform.admission;

/**
 * Requests that were rejected with a time to retry: each counts as ahead of whoever is rejected after it, so that
 * they are asked to retry one after the other and not all at once. Remembers the last 256 until they are due.
 */
final class RejectedRequests {
    private static final int MAX_REMEMBERED = 256;
    private final long[] dueAtMs = new long[MAX_REMEMBERED];
    private int head;
    private int size;

    /** A request was rejected with this time to retry. */
    void onRejected(int retryAfterMs, long now) {
        if (size == MAX_REMEMBERED) {
            head = (head + 1) % MAX_REMEMBERED;
            size--;
        }
        dueAtMs[(head + size++) % MAX_REMEMBERED] = now + retryAfterMs;
    }

    /** Promised and not yet due. */
    int pendingCount(long now) {
        while (size > 0 && dueAtMs[head] <= now) {
            head = (head + 1) % MAX_REMEMBERED;
            size--;
        }
        return size;
    }

    /** Promised to be back within {@code ms}. */
    int dueWithin(int ms, long now) {
        int open = pendingCount(now);
        int n = 0;
        for (int i = 0; i < open; i++) {
            if (dueAtMs[(head + i) % MAX_REMEMBERED] <= now + ms) {
                n++;
            }
        }
        return n;
    }
}
