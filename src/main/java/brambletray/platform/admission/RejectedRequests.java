package brambletray.platform.admission;

/**
 * Requests that were rejected with a {@code Retry-After}: each counts as ahead of those rejected after it, so that
 * their retries are spread over time. Remembers the last {@value #MAX_REMEMBERED} until they are due.
 */
final class RejectedRequests {
    private static final int MAX_REMEMBERED = 256;
    private final long[] dueAtMs = new long[MAX_REMEMBERED];
    private int head;
    private int size;

    /** A request was rejected and asked to retry after this time. */
    void onRejected(int retryAfterMs, long now) {
        if (size == MAX_REMEMBERED) {
            head = (head + 1) % MAX_REMEMBERED;
            size--;
        }
        dueAtMs[(head + size++) % MAX_REMEMBERED] = now + retryAfterMs;
    }

    /** Number of retries that are not due yet. */
    int pendingCount(long now) {
        while (size > 0 && dueAtMs[head] <= now) {
            head = (head + 1) % MAX_REMEMBERED;
            size--;
        }
        return size;
    }

    /** Number of retries that are due within {@code ms}. */
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
