package brambletray.platform.admission;

/**
 * Those refused with a time to come back: each is counted as ahead of whoever is refused after it, so that they are
 * told one moment after the other and not one instant. Remembers the last 256 promised returns until they are due.
 */
final class RejectedRequests {
    private static final int MAX_REMEMBERED = 256;
    private final long[] dueAtMs = new long[MAX_REMEMBERED];
    private int head;
    private int size;

    /** One has been told to be back in so many ms. */
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
